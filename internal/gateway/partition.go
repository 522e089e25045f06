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

// updatePartitionState determines whether this VM is partitioned, and returns
// the leaves to probe in unreachable zones. The caller holds mu.
func (n *Node) updatePartitionState() []placement.Choice {
	conf := n.activeConfiguration.Load()
	if conf == nil {
		return nil
	}
	now := n.now()
	unreachable := n.table.UnreachableZones()
	partitioned := n.table.OtherZonesUnreachable(fleet.Zone(n.config.Zone)) && !n.table.CanMeetMinCoverage(now, conf)
	if n.partitioned.Swap(partitioned) != partitioned {
		klog.InfoS("Partition state changed", "cutOff", partitioned, "zonesDown", unreachable)
	}
	var probes []placement.Choice
	for _, zone := range unreachable {
		if choice, ok := n.table.NextZoneProbe(now, zone); ok {
			probes = append(probes, choice)
		}
	}
	return probes
}

// probeZone dials a leaf of an unreachable zone.
func (n *Node) probeZone(ctx context.Context, choice placement.Choice) {
	conn, err := n.dialLeaf(ctx, choice.Address)
	if err != nil {
		klog.V(1).InfoS("Zone still unreachable", "zone", choice.Zone, "leaf", choice.ID, "err", err)
		return
	}
	// Only the success of the dial matters.
	_ = conn.Close()
	klog.InfoS("Zone reachable again", "zone", choice.Zone, "leaf", choice.ID)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordZoneReachable(n.now(), choice.Zone)
}

// aggregatorPollInterval is the time between two polls of an aggregator that is
// partitioned. Meanwhile this VM gets no queries, so no delegated query would
// reveal the end of the partition.
const aggregatorPollInterval = 500 * time.Millisecond

// pollAggregators polls the aggregators while the last one that answered was
// partitioned, until the context is cancelled.
func (n *Node) pollAggregators(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, aggregatorPollInterval)
		if n.aggregatorPartitioned.Load() {
			n.pollAggregator(ctx)
		}
	}
}

// pollAggregator asks one aggregator whether it is partitioned. If there is
// none, this VM runs its queries itself.
func (n *Node) pollAggregator(ctx context.Context) {
	vm, ok := n.nextAggregator()
	if !ok {
		n.aggregatorPartitioned.Store(false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, aggregatorPollInterval)
	defer cancel()
	answer, err := n.peerClient.Query(ctx, vm.Address, message.Query{})
	outcome := delegation.Answered
	if err != nil {
		klog.InfoS("Failed to poll whether an aggregator is partitioned", "aggregator", vm.Name, "err", err)
		outcome = delegation.ConnectionLost
	}
	n.recordDelegation(vm, outcome, &answer)
}
