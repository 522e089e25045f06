package query

import "time"

// suspected reports whether a leaf was lost in the fan-out and no reply has shown yet that
// the request was not the cause.
func (m *Machine) suspected() bool {
	return m.params.ReplyClears && !m.cleared && m.crashes > 0 && m.phase == phaseFanOut
}

// clearSuspicion records that a leaf has replied, and sends the requests of the held shards.
func (m *Machine) clearSuspicion(now time.Duration, budget Budget) {
	if !m.params.ReplyClears || m.cleared {
		return
	}
	m.cleared = true
	for i := range m.shards {
		if s := &m.shards[i]; s.status == shardHeld && !m.sendExtra(now, i, s.resend, budget) {
			m.markMissing(i, s.reason)
		}
	}
}

// sendHeld sends the request of one held shard if no attempt is open that could clear the
// suspicion. At the limit of crashes all held shards are missing.
func (m *Machine) sendHeld(now time.Duration, budget Budget) {
	for i := range m.shards {
		if !m.shards[i].idle() {
			return
		}
	}
	m.crashLimitReached = m.crashes >= m.params.MaxCrashes
	for i := range m.shards {
		s := &m.shards[i]
		if s.status != shardHeld {
			continue
		}
		if m.sendExtra(now, i, s.resend, budget) {
			return
		}
		m.markMissing(i, s.reason)
	}
}
