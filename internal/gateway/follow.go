package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/peerfeed"
)

const (
	// watchWait is how long a watch waits for a change. Each call has its price,
	// and the store allows 30 s at most.
	watchWait = 25 * time.Second
	// checkWait is the wait of the watch of the configuration. A watch may have
	// gone deaf while the store dropped its history, and only the next call tells;
	// the rules hold again four seconds after such a fault.
	checkWait = directory.CheckInterval
	// peerWait is how long a watch at another VM waits. It costs no call of the
	// store and shows soon that the other VM is gone.
	peerWait = 700 * time.Millisecond
	// noSourcePause is the pause while no source may be tried.
	noSourcePause = 50 * time.Millisecond
)

// pauses are the pauses between the answer of a watch and the next one, so that
// changes that come in a row share a call. A leaf that leaves goes on serving for
// seconds, and shares of members may be seconds old.
var pauses = map[directory.Kind]time.Duration{
	directory.KindLeaves:  250 * time.Millisecond,
	directory.KindMembers: 2 * time.Second,
}

var (
	errPeerNotReady = errors.New("the VM has nothing to give yet")
	errPeerBehind   = errors.New("the VM has an older revision")
)

// errRelist ends the watch of a kind whose objects must be listed anew.
var errRelist = errors.New("the objects of the kind must be listed anew")

// follower keeps one kind of object up to date. One goroutine owns it, but for
// cancel.
type follower struct {
	node *Node
	kind directory.Kind
	// from is the revision that is known, once listed is true.
	from   uint64
	listed bool
	lost   bool
	// cancel ends the call that is under way; guarded by the node's mu.
	cancel context.CancelCauseFunc
}

func newFollower(n *Node, kind directory.Kind) *follower {
	return &follower{node: n, kind: kind}
}

// run follows until the context is done.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.turn(ctx)
	}
}

func (f *follower) turn(ctx context.Context) {
	source, ok := f.node.source()
	if !ok {
		rest(ctx, noSourcePause)
		return
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.node.mu.Lock()
	f.cancel = cancel
	f.node.mu.Unlock()
	changes, err := f.fetch(callCtx, source)
	switch {
	case err == nil:
		f.take(ctx, source, changes)
	case errors.Is(context.Cause(callCtx), errRelist):
		f.listed = false
	case errors.Is(err, ErrHistoryGone):
		klog.InfoS("The history is gone, listing anew", "kind", f.kind, "revision", f.from, "peer", source.Peer)
		f.listed = false
		if source.IsStore() {
			f.node.relistOthers(f)
		}
	case ctx.Err() == nil:
		f.fail(source, err)
	}
}

func (f *follower) fetch(ctx context.Context, source feedsource.Source) (objectfeed.Changes, error) {
	switch {
	case !source.IsStore():
		return f.ask(ctx, source)
	case !f.listed:
		f.node.metrics.storeCalls.Inc(1)
		return f.node.store.List(ctx, f.kind)
	default:
		f.node.metrics.storeCalls.Inc(1)
		return f.node.store.Watch(ctx, f.kind, f.from, f.watchWait())
	}
}

// watchWait is how long a watch at the store waits.
func (f *follower) watchWait() time.Duration {
	if f.kind != directory.KindConfiguration {
		return watchWait
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	if f.node.sources.IsSeed() {
		return feedsource.SeedInterval
	}
	return checkWait
}

// ask reads from another VM.
func (f *follower) ask(ctx context.Context, source feedsource.Source) (objectfeed.Changes, error) {
	f.node.metrics.peerCalls.Inc(1)
	answer, err := f.node.peers.Ask(ctx, source.Peer, message.FeedRequest{
		Kind: uint8(f.kind), List: !f.listed, From: f.from, Wait: peerWait,
	})
	switch {
	case err != nil:
		return objectfeed.Changes{}, err
	case !answer.Ready:
		return objectfeed.Changes{}, errPeerNotReady
	case answer.HistoryGone:
		return objectfeed.Changes{}, ErrHistoryGone
	case answer.Changes.Revision < f.from:
		return objectfeed.Changes{}, errPeerBehind
	}
	return answer.Changes, nil
}

// take brings changes into force. A peer that has not heard of the store for too
// long is passed over; what it knows is taken all the same.
func (f *follower) take(ctx context.Context, source feedsource.Source, changes objectfeed.Changes) {
	if f.lost {
		klog.InfoS("Regained a source", "kind", f.kind, "revision", changes.Revision, "peer", source.Peer, "age", changes.Age)
	}
	f.lost = false
	f.node.apply(f.kind, source, changes)
	f.from, f.listed = changes.Revision, true
	if changes.Age > feedsource.MaxAge {
		f.tooOld(source, changes.Age)
		return
	}
	f.node.answered(source)
	if len(changes.Objects) > 0 {
		rest(ctx, pauses[f.kind])
	}
}

func (f *follower) tooOld(source feedsource.Source, age time.Duration) {
	if !f.lost {
		klog.ErrorS(nil, "The peer has not heard of the store for too long", "kind", f.kind, "peer", source.Peer, "age", age)
	}
	f.lost = true
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.sources.MarkStale(f.node.now(), source)
}

func (f *follower) fail(source feedsource.Source, err error) {
	if !f.lost {
		klog.ErrorS(err, "Lost a source", "kind", f.kind, "revision", f.from, "peer", source.Peer)
	}
	f.lost = true
	f.node.hub.Lost(peerfeed.Kind(f.kind))
	f.node.sourceFailed(source)
}

// source returns from where to read.
func (n *Node) source() (feedsource.Source, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources.Next(n.now())
}

func (n *Node) answered(source feedsource.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sources.MarkFresh(source)
}

func (n *Node) sourceFailed(source feedsource.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sources.MarkFailed(n.now(), source)
	if source.IsStore() {
		n.metrics.storeErrors.Inc(1)
		n.directory.StoreFailed(n.now())
	}
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

// rest waits, but not longer than the context.
func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
