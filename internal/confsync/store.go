package confsync

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// storeState tracks when the store was last read and when to read it again.
type storeState struct {
	watching bool
	// watchFailed is true once the current watch has reported a failure.
	watchFailed bool
	// everRead is true once a read of the store by any agent is known.
	// lastReadAt is the time of the newest one.
	everRead   bool
	lastReadAt time.Duration
	// watchReportedAt is when this agent's own watch was started or last reported.
	watchReportedAt time.Duration
	// attempts and nextReadAt control the backoff of reads while the store
	// doesn't reply.
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

// recordRead records a read of the store by this agent or a peer, given its age.
// The time of the read counts, not that of the heartbeat that reported it: peers
// that only exchange heartbeats must not keep each other from reading the store.
func (s *storeState) recordRead(now, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now - age; !s.everRead || at > s.lastReadAt {
		s.everRead, s.lastReadAt = true, at
	}
}

// readDue reports whether the agent must read the store. A watcher considers only
// its own watch: the reads of other watchers would hide that it has stalled.
func (s *storeState) readDue(now time.Duration) bool {
	if s.watching {
		return s.watchFailed || now-s.watchReportedAt >= maxStoreReadAge
	}
	return !s.everRead || now-s.lastReadAt >= maxStoreReadAge
}

// updateWatch starts or stops the watch of the store if this VM has become or no
// longer is a watcher of its zone.
func (m *Machine) updateWatch() {
	if !m.start.finished {
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
	text := e.Manifest.InlineText
	e.Manifest.InlineText = nil
	m.setTargetIfNewer(e.Manifest, "")
	if text != nil {
		m.handleSection(SectionReceived(*text))
	}
}

// readStoreIfDue restarts a watch that has failed or stalled, or polls the store
// when the newest known read is maxStoreReadAge old.
func (m *Machine) readStoreIfDue() {
	if !m.start.finished {
		return
	}
	if !m.store.readDue(m.now) {
		if !m.store.watching {
			m.store.attempts, m.store.nextReadAt = 0, 0
		}
		return
	}
	if m.store.nextReadAt == 0 && !m.store.watching {
		// Spreads out the first polls of all agents when the watchers fail.
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

// scheduleNextRead sets the time of the next read by exponential backoff with
// jitter.
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
