package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// updatePartitionState decides whether this VM is cut off, and returns the leaves to try
// to learn whether a zone can be reached again. The caller holds mu.
func (n *Node) updatePartitionState() []placement.Choice {
	conf := n.activeConfiguration.Load()
	if conf == nil {
		return nil
	}
	now := n.now()
	down := n.table.UnreachableZones()
	cutOff := n.table.Isolated(fleet.Zone(n.config.Zone)) && !n.table.CanMeetMinCoverage(now, conf)
	if n.partitioned.Swap(cutOff) != cutOff {
		klog.InfoS("Changed whether this VM is cut off", "cutOff", cutOff, "zonesDown", down)
	}
	var trials []placement.Choice
	for _, zone := range down {
		if choice, ok := n.table.NextZoneProbe(now, zone); ok {
			trials = append(trials, choice)
		}
	}
	return trials
}

// probeZone opens a connection to a leaf of a zone that is down.
func (n *Node) probeZone(ctx context.Context, choice placement.Choice) {
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
	n.table.RecordZoneReachable(n.now(), choice.Zone)
}

// aggregatorPollInterval is the time between two questions to an aggregator that is cut off.
// This VM gets no queries then, from whose answers it would learn.
const aggregatorPollInterval = 500 * time.Millisecond

// pollAggregators asks whether the aggregators are still cut off, as long as the
// last one that answered was, until the context is done.
func (n *Node) pollAggregators(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, aggregatorPollInterval)
		if n.aggregatorPartitioned.Load() {
			n.pollAggregator(ctx)
		}
	}
}

// pollAggregator asks one aggregator. Without one this VM decides for itself.
func (n *Node) pollAggregator(ctx context.Context) {
	n.mu.Lock()
	vm, ok := n.aggregators.Choose(n.now(), func(addr string) bool { return n.links.Get(addr) != nil })
	n.mu.Unlock()
	if !ok {
		n.aggregatorPartitioned.Store(false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, aggregatorPollInterval)
	defer cancel()
	answer, err := n.peerClient.Query(ctx, vm.Address, message.Query{})
	outcome := delegation.Answered
	if err != nil {
		klog.InfoS("Cannot ask an aggregator whether it is cut off", "aggregator", vm.Name, "err", err)
		outcome = delegation.ConnectionLost
	}
	n.recordDelegation(vm, outcome, &answer)
}
