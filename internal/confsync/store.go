package confsync

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// storeState is what the agent knows of the store's reachability.
type storeState struct {
	watching bool
	// ended reports that the running watch failed.
	ended bool
	// seen reports that some read of the store is known; at is when the
	// newest one was made, by this agent or any other.
	seen bool
	at   time.Duration
	// reported is when this agent's own watch was started or last reported.
	reported time.Duration
	// attempts and next pace reads while the store is silent.
	attempts int
	next     time.Duration
}

// age returns the time since the newest known read.
func (s *storeState) age(now time.Duration) time.Duration {
	if !s.seen {
		return StoreNeverRead
	}
	return now - s.at
}

// report takes the age of a read that a peer knows of. The newest read counts,
// not the newest heartbeat: peers that only hear each other must not hold each
// other back from reading the store.
func (s *storeState) report(now, age time.Duration) {
	if age < 0 {
		return
	}
	if at := now - age; !s.seen || at > s.at {
		s.seen, s.at = true, at
	}
}

// silent reports that the agent must read the store. A watcher goes by its own
// watch: other watchers would hide that it hangs.
func (s *storeState) silent(now time.Duration) bool {
	if s.watching {
		return s.ended || now-s.reported >= storeSilence
	}
	return !s.seen || now-s.at >= storeSilence
}

// elect starts or ends the watch when the zone's live VMs have changed.
func (m *Machine) elect() {
	if !m.start.done {
		return
	}
	isSelf := func(vm topology.VM) bool { return vm.ID == m.self.ID }
	watch := slices.ContainsFunc(m.watchers(), isSelf)
	if watch == m.store.watching {
		return
	}
	m.store.watching, m.store.ended = watch, false
	m.store.attempts, m.store.next = 0, 0
	m.store.reported = m.now
	m.do(WatchStore{On: watch})
}

func (m *Machine) storeRead(e StoreRead) {
	if !e.OK {
		if m.store.watching && !m.store.ended {
			m.store.ended = true
			m.pace()
		}
		return
	}
	m.store.report(m.now, 0)
	m.store.reported = m.now
	m.store.ended, m.store.attempts, m.store.next = false, 0, 0
	m.start.stored = true
	newest := e.Manifest.InlineText
	e.Manifest.InlineText = nil
	m.consider(e.Manifest, "")
	if newest != nil {
		m.arrived(SectionReceived(*newest))
	}
}

// readStore reads the store when a watch has ended or nobody has read it for
// storeSilence.
func (m *Machine) readStore() {
	if !m.start.done {
		return
	}
	if !m.store.silent(m.now) {
		if !m.store.watching {
			m.store.attempts, m.store.next = 0, 0
		}
		return
	}
	if m.store.next == 0 && !m.store.watching {
		// Spreads the first reads of all agents that miss the watchers.
		m.store.next = m.now + m.between(0, firstBackoff)
	}
	if m.now < m.store.next {
		return
	}
	if m.store.watching {
		m.store.ended, m.store.reported = false, m.now
		m.do(WatchStore{On: true})
	} else {
		m.do(PollStore{})
	}
	m.pace()
}

// pace sets the time of the next read with exponential backoff and jitter.
func (m *Machine) pace() {
	limit := max(maxPollBackoff, time.Duration(len(m.peers.ids))*pollSpacing)
	if m.store.watching {
		limit = maxWatcherBackoff
	}
	backoff := min(firstBackoff<<min(m.store.attempts, 8), limit)
	m.store.attempts++
	m.store.next = m.now + m.between(backoff/2, backoff)
}

func (m *Machine) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rnd.Int64N(int64(high-low)+1))
}
