package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

const (
	// peerLateAfter is how much longer than its wait a watch at another VM may take before
	// others are asked, too.
	peerLateAfter = 200 * time.Millisecond
	// usualDelay is how long an answer is under way on a link and a VM without trouble, which
	// the bounds of ages allow for.
	usualDelay = 200 * time.Millisecond
	// maxAlternatives is how many others are asked: with the first one, as many as there are
	// seeds.
	maxAlternatives = 2
)

// peerAnswer is the answer of one VM, or why there is none.
type peerAnswer struct {
	source  feedsource.Source
	changes objectfeed.Changes
	err     error
}

// fetchFromPeers reads from another VM. If that VM is late, it asks further ones at the same
// time and returns the first answer that is not too old, so that several silent VMs cost no
// more time than one.
func (f *follower) fetchFromPeers(ctx context.Context, source feedsource.Source) (feedsource.Source, objectfeed.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerAnswer, 1+maxAlternatives)
	request := f.peerRequest()
	known := f.position
	ask := func(s feedsource.Source, r message.FeedRequest) {
		f.node.metrics.peerCalls.Inc(1)
		go func() {
			a := peerAnswer{source: s, err: errPeerNotReady}
			defer func() { answers <- a }()
			defer f.node.panics.Recover("feed-answer", s.Peer, nil)
			a.changes, a.err = f.node.fetchFromPeer(ctx, s, r, known)
		}()
	}
	ask(source, request)
	late := time.NewTimer(request.Wait + peerLateAfter)
	defer late.Stop()
	var failed error
	for pending := 1; pending > 0; {
		select {
		case <-late.C:
			if request.List {
				// The listings of several VMs would cost more than the time.
				continue
			}
			request.Wait = 0
			for _, s := range f.node.alternatives(f.kind, source) {
				pending++
				ask(s, request)
			}
		case a := <-answers:
			pending--
			switch {
			case a.source == source && a.err == nil:
				return source, a.changes, nil
			case a.source == source:
				failed = a.err
				if !isLate(a.err) {
					return source, objectfeed.Changes{}, a.err
				}
			case a.err != nil:
				f.node.markSourceFailed(a.source, 0)
			case a.changes.Age <= maxAge(f.kind):
				klog.InfoS("Source late, read from another one", "kind", f.kind, "revision", a.changes.Revision, "peer", a.source.Peer, "before", source.Peer)
				f.node.markSourceFailed(source, 0)
				return a.source, a.changes, nil
			}
		}
	}
	return source, objectfeed.Changes{}, failed
}

// isLate reports whether a call was not answered in its time.
func isLate(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// peerRequest returns the request for what the follower lacks.
func (f *follower) peerRequest() message.FeedRequest {
	era := f.position.Era
	if !f.listed {
		era = f.node.storeEra.Load()
	}
	return message.FeedRequest{
		Kind: uint8(f.kind), List: !f.listed, From: f.position.Revision, Era: era, Wait: f.peerWait(), MaxAge: maxAge(f.kind),
	}
}

// peerWait returns how long a watch waits at another VM. After a failure it does not wait: an
// answer shows at once whether the VM is a working source, while the copy grows older.
func (f *follower) peerWait() time.Duration {
	switch {
	case f.failing:
		return 0
	case f.node.servesOthers():
		return aggregatorWatchTimeout
	}
	return peerWatchTimeout
}

// delay returns by how much an answer counts as older than it states: it may have been under way
// for all of the time that the call took beyond the time that it was held.
func delay(took, held time.Duration) time.Duration { return max(took-held-usualDelay, 0) }

// fetchFromPeer makes one call to another VM. An answer of an earlier state than the known one
// is an error.
func (n *Node) fetchFromPeer(ctx context.Context, source feedsource.Source, r message.FeedRequest, known objectfeed.Position) (objectfeed.Changes, error) {
	began := time.Now()
	answer, err := n.peerClient.FetchChanges(ctx, source.Peer, r)
	switch {
	case err != nil:
		return objectfeed.Changes{}, err
	case !answer.Ready:
		return objectfeed.Changes{}, errPeerNotReady
	case answer.HistoryGone:
		return objectfeed.Changes{}, ErrHistoryDiscarded
	case answer.Changes.Position().Before(known):
		return objectfeed.Changes{}, errPeerBehind
	}
	if answer.Held > 0 {
		late := delay(time.Since(began), answer.Held)
		answer.Changes.Age += late
		answer.Changes.Store = answer.Changes.Store.Delayed(late)
	}
	return answer.Changes, nil
}
