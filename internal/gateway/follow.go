package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

const (
	// watchWait is how long a watch waits for a change. Each call has its price,
	// and the store allows 30 s at most.
	watchWait = 25 * time.Second
	// checkWait is the wait of the watch of the configuration. A watch may have
	// gone deaf while the store dropped its history, and only the next call tells;
	// the rules hold again four seconds after such a fault.
	checkWait = directory.CheckInterval
	// leafPause is the pause between the answer of a watch of the leaves and the
	// next one, so that changes that come in a row share a call. A leaf that leaves
	// goes on serving for seconds.
	leafPause = 250 * time.Millisecond
	// followPauseMin and followPauseMax bound the pause after a failed call.
	followPauseMin = 50 * time.Millisecond
	followPauseMax = 400 * time.Millisecond
)

// errRelist ends the watch of a kind whose objects must be listed anew.
var errRelist = errors.New("the objects of the kind must be listed anew")

// follower keeps one kind of object up to date. One goroutine owns it, but for
// cancel.
type follower struct {
	node *Node
	kind directory.Kind
	wait time.Duration
	// from is the revision that is known, once listed is true.
	from   uint64
	listed bool
	lost   bool
	pause  time.Duration
	// cancel ends the call that is under way; guarded by the node's mu.
	cancel context.CancelCauseFunc
}

func newFollower(n *Node, kind directory.Kind) *follower {
	f := &follower{node: n, kind: kind, wait: watchWait, pause: followPauseMin}
	if kind == directory.KindConfiguration {
		f.wait = checkWait
	}
	return f
}

// run follows until the context is done.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.turn(ctx)
	}
}

func (f *follower) turn(ctx context.Context) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.node.mu.Lock()
	f.cancel = cancel
	f.node.mu.Unlock()
	changes, err := f.fetch(callCtx)
	switch {
	case err == nil:
		f.take(ctx, changes)
	case errors.Is(context.Cause(callCtx), errRelist):
		f.listed = false
	case errors.Is(err, ErrHistoryGone):
		klog.InfoS("The store has dropped the history, listing all kinds anew", "kind", f.kind, "revision", f.from)
		f.listed = false
		f.node.relistOthers(f)
	case ctx.Err() == nil:
		f.fail(ctx, err)
	}
}

func (f *follower) fetch(ctx context.Context) (Changes, error) {
	f.node.metrics.storeCalls.Inc(1)
	if !f.listed {
		return f.node.store.List(ctx, f.kind)
	}
	return f.node.store.Watch(ctx, f.kind, f.from, f.wait)
}

func (f *follower) take(ctx context.Context, changes Changes) {
	if f.lost {
		klog.InfoS("Regained the store", "kind", f.kind, "revision", changes.Revision)
	}
	f.node.apply(f.kind, changes, !f.listed)
	f.from, f.listed, f.lost, f.pause = changes.Revision, true, false, followPauseMin
	if f.kind == directory.KindLeaves && len(changes.Events) > 0 {
		rest(ctx, leafPause)
	}
}

func (f *follower) fail(ctx context.Context, err error) {
	if !f.lost {
		klog.InfoS("Lost the store", "kind", f.kind, "revision", f.from, "err", err)
	}
	f.lost = true
	f.node.storeFailed()
	rest(ctx, f.pause+rand.N(f.pause))
	f.pause = min(2*f.pause, followPauseMax)
}

// relistOthers makes the other followers list their kinds: a history that is
// gone for one kind is gone for all, and their watches may have gone deaf.
func (n *Node) relistOthers(but *follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.followers {
		if f != but && f.cancel != nil {
			f.cancel(errRelist)
		}
	}
}

func (n *Node) storeFailed() {
	n.metrics.storeErrors.Inc(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.StoreFailed(n.now())
}

// rest waits, but not longer than the context.
func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
