package gateway

import (
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/degraded"
	"github.com/medlarswitch/medlarswitch/internal/directory"
)

// Kinds of states that limit the service.
const (
	degradedShard     = "shard-without-leaf"
	degradedZone      = "zone-unreachable"
	degradedPartition = "partitioned"
	degradedCopy      = "copy-too-old"
)

// reportDegraded logs the states that limit the service, each once with the time since
// when, and sets their metrics.
func (n *Node) reportDegraded() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.metrics.statements.update(n.table.CountStatements(now))
	changes := n.degraded.Update(now, n.degradedStates())
	count, oldest := n.degraded.Reported(now)
	n.metrics.degradedStates.Update(int64(count))
	n.metrics.degradedOldest.Update(int64(oldest.Seconds()))
	for i, c := range changes {
		if i == maxChangesLogged {
			klog.ErrorS(nil, "Further states began or ended", "count", len(changes)-i)
			return
		}
		if c.Ended {
			klog.InfoS("No longer degraded", "state", c.Kind, "subject", c.Subject, "lasted", c.For)
		} else {
			klog.ErrorS(nil, "Degraded", "state", c.Kind, "subject", c.Subject, "for", c.For)
		}
	}
}

// degradedStates returns the states that limit the service now. The caller holds mu.
func (n *Node) degradedStates() []degraded.State {
	var out []degraded.State
	if conf := n.activeConfiguration.Load(); conf != nil && n.leavesListed.Load() {
		for _, shard := range n.table.ShardsWithoutLeaf(n.now(), conf) {
			out = append(out, degraded.State{Kind: degradedShard, Subject: string(shard)})
		}
	}
	for _, zone := range n.table.UnreachableZones() {
		out = append(out, degraded.State{Kind: degradedZone, Subject: string(zone)})
	}
	if n.partitioned.Load() {
		out = append(out, degraded.State{Kind: degradedPartition})
	}
	for kind, age := range n.hub.Ages() {
		n.metrics.copyAge[directory.Kind(kind)].Update(age.Milliseconds())
		if age > maxAge(directory.Kind(kind)) {
			out = append(out, degraded.State{Kind: degradedCopy, Subject: directory.Kind(kind).String()})
		}
	}
	return out
}
