package gateway

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// fetch lists the kind, or waits for changes after the known position. An answer of an
// earlier era than the latest known one is an error.
func (f *follower) fetch(ctx context.Context, source feedsource.Source) (objectfeed.Changes, error) {
	var changes objectfeed.Changes
	var err error
	if source.IsStore() {
		changes, err = f.fetchFromStore(ctx)
	} else {
		changes, err = f.fetchFromPeer(ctx, source)
	}
	if err == nil && changes.Era < f.node.storeEra.Load() {
		err = errEraEnded
	}
	return changes, err
}

// fetchFromStore reads from the store. A watch that a store of a new era answers is of no
// use: the store takes the known revision for one of its own.
func (f *follower) fetchFromStore(ctx context.Context) (objectfeed.Changes, error) {
	f.node.metrics.storeCalls.Inc(1)
	wait := time.Duration(0)
	if f.listed {
		wait = f.watchTimeout()
	}
	defer f.node.watchOverdue(wait)()
	var changes objectfeed.Changes
	var err error
	if f.listed {
		changes, err = f.node.store.Watch(ctx, f.kind, f.position.Revision, wait)
	} else {
		changes, err = f.node.store.List(ctx, f.kind)
	}
	if err != nil {
		return changes, err
	}
	if changes.Era == 0 {
		changes.Era = f.node.storeEra.Load()
	}
	if f.listed && changes.Era > f.position.Era {
		f.node.beginEra(f, changes)
		return changes, errEraBegan
	}
	return changes, nil
}

// watchTimeout returns how long a watch at the store waits. A watch may have been stalled
// since the store discarded its history, which only the next call of the same kind
// reveals. Changes must be in force within four seconds of such a fault, so the wait must
// be short, although each call to the store has a cost.
func (f *follower) watchTimeout() time.Duration {
	if f.failing || f.retried {
		// The first answer shows at once whether the store is back.
		return 0
	}
	if f.kind == directory.KindMembers {
		return memberWatchTimeout
	}
	if f.node.servesOthers() {
		return feedsource.SeedInterval - watchDelays[f.kind]
	}
	return storeWatchTimeout
}

// maxAge returns the maximum age of a peer's copy of a kind.
func maxAge(kind directory.Kind) time.Duration {
	if kind == directory.KindMembers {
		return memberMaxAge
	}
	return feedsource.MaxAge
}

// fetchFromPeer reads from another VM.
func (f *follower) fetchFromPeer(ctx context.Context, source feedsource.Source) (objectfeed.Changes, error) {
	f.node.metrics.peerCalls.Inc(1)
	era := f.position.Era
	if !f.listed {
		era = f.node.storeEra.Load()
	}
	wait := peerWatchTimeout
	if f.node.servesOthers() {
		wait = aggregatorWatchTimeout
	}
	answer, err := f.node.peerClient.FetchChanges(ctx, source.Peer, message.FeedRequest{
		Kind: uint8(f.kind), List: !f.listed, From: f.position.Revision, Era: era, Wait: wait, MaxAge: maxAge(f.kind),
	})
	switch {
	case err != nil:
		return objectfeed.Changes{}, err
	case !answer.Ready:
		return objectfeed.Changes{}, errPeerNotReady
	case answer.HistoryGone:
		return objectfeed.Changes{}, ErrHistoryDiscarded
	case answer.Changes.Position().Before(f.position):
		return objectfeed.Changes{}, errPeerBehind
	}
	return answer.Changes, nil
}
