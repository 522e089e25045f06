package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

// joinRetryDelay is the delay after a failed write of the member entry.
const joinRetryDelay = 2 * time.Second

const (
	// maxRejoinDelay spreads the writes of the VMs after the store was restored.
	maxRejoinDelay = time.Second
	// rejoinInterval and rejoins are how often a VM refreshes its entry then: others count
	// it only if they see that it changes again.
	rejoinInterval = 8 * time.Second
	rejoins        = 2
)

// maintainMembership writes and refreshes the member entry of this VM until the
// context is cancelled.
func (n *Node) maintainMembership(ctx context.Context) {
	refresh := uint64(time.Now().UnixNano())
	early := 0
	for ctx.Err() == nil {
		refresh++
		wait := directory.MemberRefresh
		if early > 0 {
			early--
			wait = rejoinInterval
		}
		if err := n.writeMembership(ctx, refresh); err != nil {
			klog.ErrorS(err, "Failed to write the member entry")
			wait = joinRetryDelay
		}
		if n.waitForRejoin(ctx, wait) {
			early = rejoins
			if !n.drain.Draining() {
				sleep(ctx, rand.N(maxRejoinDelay))
			}
		}
	}
}

// writeMembership writes the member entry, or removes it again if the node is stopping.
func (n *Node) writeMembership(ctx context.Context, refresh uint64) error {
	if n.drain.Draining() {
		return n.store.Leave(ctx, n.config.VM)
	}
	return n.store.Join(ctx, n.config.self(), refresh)
}

// waitForRejoin waits for a time and reports whether the store was restored before it has
// passed.
func (n *Node) waitForRejoin(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.rejoin:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// leave removes the member entry of this VM, so that the other VMs take over
// its share.
func (n *Node) leave(ctx context.Context) {
	if err := n.store.Leave(ctx, n.config.VM); err != nil {
		klog.InfoS("Failed to remove the member entry", "err", err)
	}
}
