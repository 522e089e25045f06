package gateway

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// judgeReach decides whether this VM is cut off, and returns the leaves to try
// to learn whether a zone can be reached again. The caller holds mu.
func (n *Node) judgeReach() []placement.Choice {
	conf := n.inForce.Load()
	if conf == nil {
		return nil
	}
	now := n.now()
	down := n.table.ZonesDown()
	cutOff := n.table.Isolated(fleet.Zone(n.config.Zone)) && !n.table.Servable(now, conf)
	if n.cutOff.Swap(cutOff) != cutOff {
		klog.InfoS("Changed whether this VM is cut off", "cutOff", cutOff, "zonesDown", down)
	}
	var trials []placement.Choice
	for _, zone := range down {
		if choice, ok := n.table.ZoneTrial(now, zone); ok {
			trials = append(trials, choice)
		}
	}
	return trials
}

// tryZone opens a connection to a leaf of a zone that is down.
func (n *Node) tryZone(ctx context.Context, choice placement.Choice) {
	conn, err := dialLeaf(ctx, choice.Address)
	if err != nil {
		klog.V(1).InfoS("The zone is still down", "zone", choice.Zone, "leaf", choice.ID, "err", err)
		return
	}
	// Only whether it opens matters.
	_ = conn.Close()
	klog.InfoS("Reached the zone again", "zone", choice.Zone, "leaf", choice.ID)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Reached(n.now(), choice.Zone)
}
