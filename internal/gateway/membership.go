package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

const (
	// joinRetry is the pause after a member entry that could not be written.
	joinRetry = time.Second
	// settleTime is the wait between writing the own entry and reading all: VMs
	// that start together have written theirs by then.
	settleTime = 2 * time.Second
)

// stayMember writes the member entry of this VM and reads those of the others
// until the context is done.
func (n *Node) stayMember(ctx context.Context) {
	refresh := uint64(time.Now().UnixNano())
	for ctx.Err() == nil {
		refresh++
		if err := n.store.Join(ctx, n.config.VM, refresh); err != nil {
			klog.InfoS("Cannot write the member entry", "err", err)
			rest(ctx, joinRetry)
			continue
		}
		rest(ctx, settleTime)
		n.readMembers(ctx)
		rest(ctx, directory.MemberRefresh-settleTime)
	}
}

func (n *Node) readMembers(ctx context.Context) {
	n.metrics.storeCalls.Inc(1)
	changes, err := n.store.List(ctx, directory.KindMembers)
	if err != nil {
		klog.InfoS("Cannot read the members", "err", err)
		return
	}
	n.apply(directory.KindMembers, changes, true)
}

// leave removes the member entry of this VM, so that the others take its share.
func (n *Node) leave(ctx context.Context) {
	if err := n.store.Leave(ctx, n.config.VM); err != nil {
		klog.InfoS("Cannot remove the member entry", "err", err)
	}
}
