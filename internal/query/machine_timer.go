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
		if s.hedgeAt <= now {
			m.hedge(now, i, budget)
		}
		m.wake = min(m.wake, s.hedgeAt)
	}
}

// hedge asks once per attempt: a refused hedge is not tried again, because the
// budget refuses when upstreams already have too much to do.
func (m *Machine) hedge(now time.Duration, shard int, budget Budget) {
	m.shards[shard].hedgeAt = never
	m.resend(now, shard, KindHedge, budget)
}
