package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

// joinRetryDelay is the delay after a failed write of the member entry.
const joinRetryDelay = 2 * time.Second

// maintainMembership writes and refreshes the member entry of this VM until the
// context is cancelled.
func (n *Node) maintainMembership(ctx context.Context) {
	refresh := uint64(time.Now().UnixNano())
	for ctx.Err() == nil {
		refresh++
		wait := directory.MemberRefresh
		if err := n.store.Join(ctx, n.config.self(), refresh); err != nil {
			klog.ErrorS(err, "Failed to write the member entry")
			wait = joinRetryDelay
		}
		sleep(ctx, wait)
	}
}

// leave removes the member entry of this VM, so that the other VMs take over
// its share.
func (n *Node) leave(ctx context.Context) {
	if err := n.store.Leave(ctx, n.config.VM); err != nil {
		klog.InfoS("Failed to remove the member entry", "err", err)
	}
}
