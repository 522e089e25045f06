package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

const (
	// storeWatchTimeout is how long a watch waits at the store if no other VMs read from
	// this one.
	storeWatchTimeout = 1500 * time.Millisecond
	// memberWatchTimeout is how long a watch of the members waits at the store. The
	// limits that this VM derives from them may be seconds old.
	memberWatchTimeout = 5 * time.Second
	// memberMaxAge is the maximum age of a peer's copy of the members: the wait and the
	// delay of the seed's watch, and the same of an aggregator's.
	memberMaxAge = 15 * time.Second
	// peerWatchTimeout is how long a watch at another VM waits. It costs no
	// call to the store, so it can be short and soon detect a failed VM.
	peerWatchTimeout = 700 * time.Millisecond
	// aggregatorWatchTimeout is the same at an aggregator, from which other VMs
	// read. The age of its copies is at most this long above that of the seeds'.
	aggregatorWatchTimeout = 250 * time.Millisecond
	// leavesDelay is how long the first listing of the leaves waits for that of the
	// members, which takes a few round trips at a start.
	leavesDelay = 200 * time.Millisecond
	// minWatchWait is how long a watch must have waited for its failure to count as a cut: a
	// store that is away refuses it at once.
	minWatchWait = 20 * time.Millisecond
	// noSourceDelay is the delay before the next call while there is no source
	// to read from.
	noSourceDelay = 50 * time.Millisecond
)

// watchDelays are the delays between a watch that returned changes and the next
// watch, so that one call returns changes in quick succession. They are
// acceptable since a leaving leaf continues to serve for seconds, and since the
// limits that this VM derives from the members may be seconds old.
var watchDelays = map[directory.Kind]time.Duration{
	directory.KindLeaves:  250 * time.Millisecond,
	directory.KindMembers: 2 * time.Second,
}

var (
	errPeerNotReady = errors.New("the VM has no copy of the objects yet")
	errPeerBehind   = errors.New("the VM has an older revision")
	errEraEnded     = errors.New("the answer is of an era of the store that has ended")
	errEraBegan     = errors.New("the store has begun a new era")
)

// errRelist is the cause of the cancellation of a watch whose kind must be
// listed again.
var errRelist = errors.New("the objects of the kind must be listed again")

// follower keeps one kind of object up to date. One goroutine owns it, except
// for cancel.
type follower struct {
	node *Node
	kind directory.Kind
	// position is the last known state of the store, once listed is true.
	position objectfeed.Position
	listed   bool
	// failing is true after a call failed or returned data that is too old,
	// until a call succeeds. Meanwhile further failed calls are not logged.
	failing bool
	// storeFailing is true after a call to the store failed, until one succeeds.
	storeFailing bool
	// source is the source of the last call, once called is true.
	source feedsource.Source
	called bool
	// cancel cancels the current call; guarded by the mu of the node.
	cancel context.CancelCauseFunc
}

func newFollower(n *Node, kind directory.Kind) *follower {
	return &follower{node: n, kind: kind}
}

// run follows the kind until the context is cancelled.
func (f *follower) run(ctx context.Context) {
	if f.kind == directory.KindLeaves {
		// The members name the aggregators, which can run queries before this VM knows
		// the leaves. There are far more leaves.
		waitClosed(ctx, f.node.membersListed, leavesDelay)
	}
	for ctx.Err() == nil {
		f.poll(ctx)
	}
}

// poll makes one call to a source and handles its result.
func (f *follower) poll(ctx context.Context) {
	source, ok := f.node.nextSource(f.kind)
	if !ok {
		sleep(ctx, noSourceDelay)
		return
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCancel(cancel)
	f.logSource(source)
	if f.position.Era < f.node.storeEra.Load() {
		f.listed = false
	}
	began := time.Now()
	source, changes, err := f.fetch(callCtx, source)
	switch {
	case err == nil:
		f.accept(ctx, source, changes)
	case errors.Is(err, errEraBegan):
		f.listed = false
	case errors.Is(context.Cause(callCtx), errRelist):
		klog.InfoS("Watch abandoned, listing again", "kind", f.kind, "revision", f.position.Revision, "peer", source.Peer, "waited", time.Since(began))
		f.listed = false
	case errors.Is(err, ErrHistoryDiscarded):
		klog.InfoS("History discarded at the source, listing again",
			"kind", f.kind, "revision", f.position.Revision, "peer", source.Peer, "waited", time.Since(began))
		f.listed = false
		if source.IsStore() {
			f.node.relistOthers(f)
		}
	case ctx.Err() == nil && f.isFirstFailedWatch(source, time.Since(began)):
		klog.InfoS("Watch not answered, calling again", "kind", f.kind, "revision", f.position.Revision, "waited", time.Since(began), "err", err)
		f.storeFailing = true
	case ctx.Err() == nil:
		f.recordFailure(source, err, time.Since(began))
	}
}

// isFirstFailedWatch reports whether a call that failed was a watch that had waited at the store,
// and the last call there did not fail. The store may be well: it does not answer a watch that it
// has stalled, and cuts watches that wait.
func (f *follower) isFirstFailedWatch(source feedsource.Source, waited time.Duration) bool {
	return source.IsStore() && f.listed && !f.storeFailing && waited >= minWatchWait
}

// logSource logs a change of the source that the kind is read from. The kinds change
// independently of each other.
func (f *follower) logSource(source feedsource.Source) {
	if f.called && f.source != source {
		klog.InfoS("Reading from another source", "kind", f.kind, "revision", f.position.Revision, "peer", source.Peer, "before", f.source.Peer)
	}
	f.source, f.called = source, true
}

func (f *follower) setCancel(cancel context.CancelCauseFunc) {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.cancel = cancel
}

// accept applies changes. It also applies a peer's data that is too old, but
// then this VM does not read from the peer for some time.
func (f *follower) accept(ctx context.Context, source feedsource.Source, changes objectfeed.Changes) {
	f.node.beginEra(f, changes)
	f.node.apply(f.kind, source, changes)
	f.position, f.listed = changes.Position(), true
	if source.IsStore() {
		f.storeFailing = false
	}
	if !source.IsStore() && changes.Age > maxAge(f.kind) {
		f.markPeerStale(source, changes.Age)
		return
	}
	if f.failing {
		klog.InfoS("Source available again", "kind", f.kind, "revision", changes.Revision, "peer", source.Peer, "age", changes.Age)
	}
	f.failing = false
	f.node.markSourceFresh(f.kind, source)
	if len(changes.Objects) > 0 {
		sleep(ctx, f.watchDelay(source))
	}
}

// watchDelay returns the delay before the next watch after one that returned changes. A
// copy that was read from another VM ages in the meantime; VMs that read from this one
// must not find it too old.
func (f *follower) watchDelay(source feedsource.Source) time.Duration {
	delay := watchDelays[f.kind]
	if !source.IsStore() && f.node.servesOthers() {
		return min(delay, aggregatorWatchTimeout)
	}
	return delay
}

// prefersStore reports whether this VM reads the store before other VMs.
func (n *Node) prefersStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources.PrefersStore()
}

// servesOthers reports whether other VMs read from this one.
func (n *Node) servesOthers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isAggregator.Load() || n.sources.IsSeed()
}

// markPeerStale keeps this VM from reading the kind from a peer for some time, as its
// data is too old.
func (f *follower) markPeerStale(source feedsource.Source, age time.Duration) {
	if !f.failing {
		klog.ErrorS(nil, "Data of the peer is too old", "kind", f.kind, "peer", source.Peer, "age", age)
	}
	f.failing = true
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.sources.MarkAnswered(source)
	f.node.sources.MarkStale(f.node.now(), f.kind, source)
}

// recordFailure records that a call to a source failed after it had waited for some
// time.
func (f *follower) recordFailure(source feedsource.Source, err error, waited time.Duration) {
	if !f.failing {
		klog.ErrorS(err, "Source failed", "kind", f.kind, "revision", f.position.Revision, "peer", source.Peer, "waited", waited)
	}
	f.failing = true
	if source.IsStore() {
		f.storeFailing = true
	}
	f.node.markSourceFailed(source, waited)
	if !source.IsStore() && errors.Is(err, context.DeadlineExceeded) {
		// A VM reads from an aggregator more often than it has queries for it, so that
		// the reads show first that the aggregator has become unresponsive.
		f.node.markOverdue(source.Peer)
	}
}

// waitClosed waits until the channel is closed, but not longer than d or until the
// context is cancelled.
func waitClosed(ctx context.Context, closed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-closed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// sleep waits for d or until the context is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
