package gateway

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// fetch lists the kind, or waits for changes after the known position, and returns the source
// that has answered. An answer of an earlier era than the latest known one is an error.
func (f *follower) fetch(ctx context.Context, source feedsource.Source) (feedsource.Source, objectfeed.Changes, error) {
	var changes objectfeed.Changes
	var err error
	if source.IsStore() {
		changes, err = f.fetchFromStore(ctx)
	} else {
		source, changes, err = f.fetchFromPeers(ctx, source)
	}
	if err == nil && changes.Era < f.node.storeEra.Load() {
		err = errEraEnded
	}
	return source, changes, err
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
	began := time.Now()
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
	changes.Age = delay(time.Since(began), wait)
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
	if f.storeFailing && f.node.prefersStore() {
		// The first answer shows that the store is back.
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
