package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

// joinRetryDelay is the pause after a member entry that could not be written.
const joinRetryDelay = 2 * time.Second

// maintainMembership writes the member entry of this VM until the context is done.
func (n *Node) maintainMembership(ctx context.Context) {
	refresh := uint64(time.Now().UnixNano())
	for ctx.Err() == nil {
		refresh++
		wait := directory.MemberRefresh
		if err := n.store.Join(ctx, n.config.self(), refresh); err != nil {
			klog.ErrorS(err, "Cannot write the member entry")
			wait = joinRetryDelay
		}
		sleep(ctx, wait)
	}
}

// leave removes the member entry of this VM, so that the others take its share.
func (n *Node) leave(ctx context.Context) {
	if err := n.store.Leave(ctx, n.config.VM); err != nil {
		klog.InfoS("Cannot remove the member entry", "err", err)
	}
}
