package gateway

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/outage"
)

// nextSource returns the source to read a kind from next, if there is one.
func (n *Node) nextSource(kind directory.Kind) (feedsource.Source, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources.Next(n.now(), kind)
}

// alternatives returns other VMs to read a kind from while a source is late.
func (n *Node) alternatives(kind directory.Kind, late feedsource.Source) []feedsource.Source {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources.Alternatives(n.now(), kind, late, maxAlternatives)
}

func (n *Node) markSourceFresh(kind directory.Kind, source feedsource.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sources.MarkFresh(kind, source)
}

// markSourceFailed records that a call to a source has failed after it had waited for some
// time. A VM that prefers the store does not pause after a call to it that has waited long: the
// next one shows the store's return.
func (n *Node) markSourceFailed(source feedsource.Source, waited time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !source.IsStore() || !n.sources.PrefersStore() {
		waited = 0
	}
	n.sources.MarkFailed(n.now()-waited, source)
	if source.IsStore() {
		n.metrics.storeErrors.Inc(1)
		n.directory.StoreFailed(n.now())
	}
}

const (
	// overdueAfter is how much longer than its wait a call to the store may take before it
	// is evidence of an outage, overdueInterval the time between two records of it.
	overdueAfter    = 400 * time.Millisecond
	overdueInterval = 100 * time.Millisecond
)

// watchOverdue records that a call to the store which was to take no longer than wait is
// overdue, until stop is called.
func (n *Node) watchOverdue(wait time.Duration) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(wait+overdueAfter, func() {
		n.runDuty("store-overdue", func() { n.recordOverdueUntil(done) })
	})
	return func() {
		timer.Stop()
		close(done)
	}
}

func (n *Node) recordOverdueUntil(done <-chan struct{}) {
	tick := time.NewTicker(overdueInterval)
	defer tick.Stop()
	for {
		n.recordOverdue()
		select {
		case <-done:
			return
		case <-tick.C:
		}
	}
}

func (n *Node) recordOverdue() {
	interval := storeWatchTimeout
	if n.servesOthers() {
		interval = feedsource.SeedInterval
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.StoreOverdue(n.now(), interval+overdueAfter)
}

// StoreState implements peerfeed.Witness.
func (n *Node) StoreState() outage.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directory.StoreState(n.now())
}

// HeardStoreState implements peerfeed.Witness.
func (n *Node) HeardStoreState(s outage.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.PeerStated(n.now(), s)
}
