package gateway

import (
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// relistOthers makes the other followers list their kinds again: a history that
// is discarded for one kind is discarded for all, and their watches may be
// stalled until they are overdue.
func (n *Node) relistOthers(except *follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelCalls(except)
}

// cancelCalls cancels the calls of the other followers, which then list their kinds again.
// The caller holds mu.
func (n *Node) cancelCalls(except *follower) {
	for _, f := range n.followers {
		if f != except && f.cancel != nil {
			f.cancel(errRelist)
		}
	}
}

// beginEra makes all followers list their kinds again if an answer is the first one of a
// new era of the store: revisions of two eras cannot be compared.
func (n *Node) beginEra(f *follower, changes objectfeed.Changes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.storeEra.Load()
	if changes.Era <= before {
		return
	}
	n.storeEra.Store(changes.Era)
	klog.InfoS("Era of the store", "era", changes.Era, "before", before, "kind", f.kind, "revision", changes.Revision, "known", f.position.Revision)
	if before == 0 {
		return
	}
	n.directory.StoreRestored(n.now())
	n.cancelCalls(f)
	select {
	case n.rejoin <- struct{}{}:
	default:
	}
}
