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
	// followPauseMin and followPauseMax bound the pause after a failed call.
	followPauseMin = 50 * time.Millisecond
	followPauseMax = 400 * time.Millisecond
)

// follow keeps one kind of object up to date until the context is done.
func (n *Node) follow(ctx context.Context, kind directory.Kind) {
	pause := followPauseMin
	var from uint64
	listed, lost := false, false
	for ctx.Err() == nil {
		changes, err := n.fetch(ctx, kind, listed, from)
		switch {
		case err == nil:
			if lost {
				klog.InfoS("Regained the store", "kind", kind, "revision", changes.Revision)
			}
			n.apply(kind, changes, !listed)
			from, listed, lost, pause = changes.Revision, true, false, followPauseMin
		case errors.Is(err, ErrHistoryGone):
			klog.InfoS("The store has dropped the history, listing anew", "kind", kind, "revision", from)
			listed = false
		case ctx.Err() == nil:
			if !lost {
				klog.InfoS("Lost the store", "kind", kind, "revision", from, "err", err)
			}
			lost = true
			n.failed(kind)
			rest(ctx, pause+rand.N(pause))
			pause = min(2*pause, followPauseMax)
		}
	}
}

func (n *Node) fetch(ctx context.Context, kind directory.Kind, listed bool, from uint64) (Changes, error) {
	n.metrics.storeCalls.Inc(1)
	if !listed {
		return n.store.List(ctx, kind)
	}
	return n.store.Watch(ctx, kind, from, watchWait)
}

func (n *Node) failed(kind directory.Kind) {
	n.metrics.storeErrors.Inc(1)
	if kind != directory.KindLeaves {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.StoreFailed(n.now())
}

// apply brings changes into force.
func (n *Node) apply(kind directory.Kind, changes Changes, all bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if kind == directory.KindLeaves && n.directory.StoreAnswered(now) {
		klog.InfoS("The store is back after an outage, missing leaves stay in use for a while")
	}
	if all {
		n.directory.Listed(now, kind, changes.Events)
	} else {
		for _, event := range changes.Events {
			n.directory.Changed(now, event)
		}
	}
	logChanges(kind, changes, all)
	if all || len(changes.Events) > 0 {
		n.refresh(kind)
	}
}

// logChanges writes one line per change of what this VM believes. A listing is
// one line.
func logChanges(kind directory.Kind, changes Changes, all bool) {
	if all {
		klog.InfoS("Listed", "kind", kind, "revision", changes.Revision, "objects", len(changes.Events))
	}
	for _, event := range changes.Events {
		if ev, ok := event.(directory.Unreadable); ok {
			klog.InfoS("Ignored an object that cannot be read", "kind", kind, "name", ev.Name, "err", ev.Err)
		} else if !all {
			logChange(changes.Revision, event)
		}
	}
}

func logChange(revision uint64, event directory.Event) {
	switch ev := event.(type) {
	case directory.ConfigurationSet:
		klog.InfoS("Configuration", "revision", revision, "version", ev.Configuration.Version, "routes", len(ev.Configuration.Routes))
	case directory.LeafSet:
		klog.InfoS("Leaf", "revision", revision, "leaf", ev.Leaf.ID, "service", ev.Leaf.Service, "zone", ev.Leaf.Zone,
			"leaving", ev.Leaf.Leaving, "coldFor", ev.Leaf.ColdFor, "started", ev.Leaf.Started)
	case directory.LeafRemoved:
		klog.InfoS("Leaf removed", "revision", revision, "leaf", ev.ID)
	case directory.EvacuationSet:
		klog.InfoS("Zone out", "revision", revision, "zone", ev.Zone)
	case directory.EvacuationRemoved:
		klog.InfoS("Zone in", "revision", revision, "zone", ev.Zone)
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
