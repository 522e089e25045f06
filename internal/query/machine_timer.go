package query

import "time"

// onTimer sends the hedges that are due and finds the next time that matters.
func (m *Machine) onTimer(now time.Duration, budget Budget) {
	m.armed = never
	m.wake = m.deadline
	if now < m.target {
		m.wake = m.target
	}
	for i := range m.shards {
		s := &m.shards[i]
		if s.status != shardRunning {
			continue
		}
		if s.hedgeAt <= now && m.mayHedge(now) {
			m.hedge(now, i, budget)
		}
		m.wake = min(m.wake, max(s.hedgeAt, m.hedgesFrom(now)))
	}
}

// mayHedge reports whether shards without a reply count as straggling.
func (m *Machine) mayHedge(now time.Duration) bool {
	return float64(m.merged) >= m.params.HedgeQuorum*float64(len(m.shards)) || now >= m.hedgeLatest
}

// hedgesFrom is the earliest time at which a hedge may be due.
func (m *Machine) hedgesFrom(now time.Duration) time.Duration {
	if m.mayHedge(now) {
		return now
	}
	return m.hedgeLatest
}

// hedge asks once per attempt: a refused hedge is not tried again, because the
// budget refuses when upstreams already have too much to do.
func (m *Machine) hedge(now time.Duration, shard int, budget Budget) {
	m.shards[shard].hedgeAt = never
	m.resend(now, shard, KindHedge, budget)
}
