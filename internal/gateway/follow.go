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
	// storeWatchTimeout is how long a watch waits for a change. Each call has its price,
	// and the store allows 30 s at most.
	storeWatchTimeout = 25 * time.Second
	// configurationWatchTimeout is the wait of the watch of the configuration. A watch may have
	// gone deaf while the store dropped its history, and only the next call tells;
	// the rules hold again four seconds after such a fault.
	configurationWatchTimeout = directory.CheckInterval
	// peerWatchTimeout is how long a watch at another VM waits. It costs no call of the
	// store and shows soon that the other VM is gone.
	peerWatchTimeout = 700 * time.Millisecond
	// noSourceDelay is the pause while no source may be tried.
	noSourceDelay = 50 * time.Millisecond
)

// watchDelays are the watchDelays between the answer of a watch and the next one, so that
// changes that come in a row share a call. A leaf that leaves goes on serving for
// seconds, and shares of members may be seconds old.
var watchDelays = map[directory.Kind]time.Duration{
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
	// revision is the revision that is known, once listed is true.
	revision uint64
	listed   bool
	failing  bool
	// cancel ends the call that is under way; guarded by the node's mu.
	cancel context.CancelCauseFunc
}

func newFollower(n *Node, kind directory.Kind) *follower {
	return &follower{node: n, kind: kind}
}

// run follows until the context is done.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
	}
}

func (f *follower) poll(ctx context.Context) {
	source, ok := f.node.nextSource()
	if !ok {
		sleep(ctx, noSourceDelay)
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
		f.accept(ctx, source, changes)
	case errors.Is(context.Cause(callCtx), errRelist):
		f.listed = false
	case errors.Is(err, ErrHistoryGone):
		klog.InfoS("The history is gone, listing anew", "kind", f.kind, "revision", f.revision, "peer", source.Peer)
		f.listed = false
		if source.IsStore() {
			f.node.relistOthers(f)
		}
	case ctx.Err() == nil:
		f.recordFailure(source, err)
	}
}

func (f *follower) fetch(ctx context.Context, source feedsource.Source) (objectfeed.Changes, error) {
	switch {
	case !source.IsStore():
		return f.fetchFromPeer(ctx, source)
	case !f.listed:
		f.node.metrics.storeCalls.Inc(1)
		return f.node.store.List(ctx, f.kind)
	default:
		f.node.metrics.storeCalls.Inc(1)
		return f.node.store.Watch(ctx, f.kind, f.revision, f.watchTimeout())
	}
}

// watchTimeout is how long a watch at the store waits.
func (f *follower) watchTimeout() time.Duration {
	if f.kind != directory.KindConfiguration {
		return storeWatchTimeout
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	if f.node.sources.IsSeed() {
		return feedsource.SeedInterval
	}
	return configurationWatchTimeout
}

// fetchFromPeer reads from another VM.
func (f *follower) fetchFromPeer(ctx context.Context, source feedsource.Source) (objectfeed.Changes, error) {
	f.node.metrics.peerCalls.Inc(1)
	answer, err := f.node.peerClient.FetchChanges(ctx, source.Peer, message.FeedRequest{
		Kind: uint8(f.kind), List: !f.listed, From: f.revision, Wait: peerWatchTimeout,
	})
	switch {
	case err != nil:
		return objectfeed.Changes{}, err
	case !answer.Ready:
		return objectfeed.Changes{}, errPeerNotReady
	case answer.Gone:
		return objectfeed.Changes{}, ErrHistoryGone
	case answer.Changes.Revision < f.revision:
		return objectfeed.Changes{}, errPeerBehind
	}
	return answer.Changes, nil
}

// accept brings changes into force. A peer that has not heard of the store for too
// long is passed over; what it knows is taken all the same.
func (f *follower) accept(ctx context.Context, source feedsource.Source, changes objectfeed.Changes) {
	if f.failing {
		klog.InfoS("Regained a source", "kind", f.kind, "revision", changes.Revision, "peer", source.Peer, "age", changes.Age)
	}
	f.failing = false
	f.node.apply(f.kind, source, changes)
	f.revision, f.listed = changes.Revision, true
	if changes.Age > feedsource.MaxAge {
		f.rejectStale(source, changes.Age)
		return
	}
	f.node.markFresh(source)
	if len(changes.Objects) > 0 {
		sleep(ctx, watchDelays[f.kind])
	}
}

func (f *follower) rejectStale(source feedsource.Source, age time.Duration) {
	if !f.failing {
		klog.ErrorS(nil, "The peer has not heard of the store for too long", "kind", f.kind, "peer", source.Peer, "age", age)
	}
	f.failing = true
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.sources.MarkStale(f.node.now(), source)
}

func (f *follower) recordFailure(source feedsource.Source, err error) {
	if !f.failing {
		klog.ErrorS(err, "Lost a source", "kind", f.kind, "revision", f.revision, "peer", source.Peer)
	}
	f.failing = true
	f.node.hub.RecordFailure(peerfeed.Kind(f.kind))
	f.node.markFailed(source)
}

// nextSource returns from where to read.
func (n *Node) nextSource() (feedsource.Source, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources.Next(n.now())
}

func (n *Node) markFresh(source feedsource.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sources.MarkFresh(source)
}

func (n *Node) markFailed(source feedsource.Source) {
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

// sleep waits, but not longer than the context.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
