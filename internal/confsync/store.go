package confsync

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// storeState is what the agent knows of the store's reachability.
type storeState struct {
	watching bool
	// watchFailed reports that the running watch failed.
	watchFailed bool
	// everRead reports that some read of the store is known; at is when the
	// newest one was made, by this agent or any other.
	everRead   bool
	lastReadAt time.Duration
	// watchReportedAt is when this agent's own watch was started or last watchReportedAt.
	watchReportedAt time.Duration
	// attempts and next pace reads while the store is silent.
	attempts   int
	nextReadAt time.Duration
}

// readAge returns the time since the newest known read.
func (s *storeState) readAge(now time.Duration) time.Duration {
	if !s.everRead {
		return StoreNeverRead
	}
	return now - s.lastReadAt
}

// recordRead takes the age of a read that a peer knows of. The newest read counts,
// not the newest heartbeat: peers that only hear each other must not hold each
// other back from reading the store.
func (s *storeState) recordRead(now, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now - age; !s.everRead || at > s.lastReadAt {
		s.everRead, s.lastReadAt = true, at
	}
}

// readDue reports that the agent must read the store. A watcher goes by its own
// watch: other watchers would hide that it hangs.
func (s *storeState) readDue(now time.Duration) bool {
	if s.watching {
		return s.watchFailed || now-s.watchReportedAt >= maxStoreReadAge
	}
	return !s.everRead || now-s.lastReadAt >= maxStoreReadAge
}

// updateWatch starts or ends the watch when the zone's live VMs have changed.
func (m *Machine) updateWatch() {
	if !m.start.complete {
		return
	}
	isSelf := func(vm topology.VM) bool { return vm.ID == m.self.ID }
	watch := slices.ContainsFunc(m.watchers(), isSelf)
	if watch == m.store.watching {
		return
	}
	m.store.watching, m.store.watchFailed = watch, false
	m.store.attempts, m.store.nextReadAt = 0, 0
	m.store.watchReportedAt = m.now
	m.emit(WatchStore{On: watch})
}

func (m *Machine) handleStoreRead(e StoreRead) {
	if !e.OK {
		if m.store.watching && !m.store.watchFailed {
			m.store.watchFailed = true
			m.scheduleNextRead()
		}
		return
	}
	m.store.recordRead(m.now, 0)
	m.store.watchReportedAt = m.now
	m.store.watchFailed, m.store.attempts, m.store.nextReadAt = false, 0, 0
	m.start.storeAnswered = true
	newest := e.Manifest.InlineText
	e.Manifest.InlineText = nil
	m.setTargetIfNewer(e.Manifest, "")
	if newest != nil {
		m.handleSection(SectionReceived(*newest))
	}
}

// readStoreIfDue reads the store when a watch has ended or nobody has read it for
// storeSilence.
func (m *Machine) readStoreIfDue() {
	if !m.start.complete {
		return
	}
	if !m.store.readDue(m.now) {
		if !m.store.watching {
			m.store.attempts, m.store.nextReadAt = 0, 0
		}
		return
	}
	if m.store.nextReadAt == 0 && !m.store.watching {
		// Spreads the first reads of all agents that miss the watchers.
		m.store.nextReadAt = m.now + m.randomDuration(0, initialStoreBackoff)
	}
	if m.now < m.store.nextReadAt {
		return
	}
	if m.store.watching {
		m.store.watchFailed, m.store.watchReportedAt = false, m.now
		m.emit(WatchStore{On: true})
	} else {
		m.emit(PollStore{})
	}
	m.scheduleNextRead()
}

// scheduleNextRead sets the time of the next read with exponential backoff and jitter.
func (m *Machine) scheduleNextRead() {
	limit := max(maxPollBackoff, time.Duration(len(m.peers.ids))*pollBackoffPerPeer)
	if m.store.watching {
		limit = maxWatchBackoff
	}
	backoff := min(initialStoreBackoff<<min(m.store.attempts, 8), limit)
	m.store.attempts++
	m.store.nextReadAt = m.now + m.randomDuration(backoff/2, backoff)
}

func (m *Machine) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rnd.Int64N(int64(high-low)+1))
}
