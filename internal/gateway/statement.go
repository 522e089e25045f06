package gateway

import (
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// recordStatement records what a leaf states of itself in the head of a reply, and logs
// it if it differs from the statement before. It counts also if the body is lost, the
// reply reports a failure or its caller has left.
func (n *Node) recordStatement(a *attempt, info ReplyInfo) {
	if info.WrongInstance {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before, after := n.table.RecordStatement(n.now(), a.leaf, a.startedAt, info.Statement)
	logStatement(a, before, after)
	if len(info.Unreadable) > 0 && n.table.MarkUnreadable(a.leaf) {
		klog.ErrorS(nil, "Ignored statements of a leaf that cannot be decoded", "leaf", a.leaf, "service", a.service, "headers", info.Unreadable)
	}
}

// logStatement logs what has changed in the statements of a leaf.
func logStatement(a *attempt, before, after placement.Statement) {
	switch {
	case after.Limited && (!before.Limited || before.Limit != after.Limit):
		klog.InfoS("Leaf limits its requests", "leaf", a.leaf, "service", a.service, "limit", after.Limit, "limitedBefore", before.Limited, "limitBefore", before.Limit)
	case before.Limited && !after.Limited:
		klog.InfoS("Leaf no longer limits its requests", "leaf", a.leaf, "service", a.service, "limitBefore", before.Limit)
	}
	if after.Rest > before.Rest {
		klog.InfoS("Leaf wants no requests for some time", "leaf", a.leaf, "service", a.service, "for", after.Rest)
	}
	if after.Leaving && !before.Leaving {
		klog.InfoS("Leaf states that it is leaving", "leaf", a.leaf, "service", a.service)
	}
}
