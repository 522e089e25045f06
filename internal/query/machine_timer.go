package query

import "time"

// onTimer sends the hedges that are due and computes the next wake-up.
func (m *Machine) onTimer(now time.Duration, budget Budget) {
	m.requestedWake = never
	m.nextWake = m.deadline
	if now < m.target {
		m.nextWake = m.target
	}
	for i := range m.shards {
		s := &m.shards[i]
		if s.status != shardRunning {
			continue
		}
		if s.hedgeAt <= now && m.mayHedge(now) {
			m.hedge(now, i, budget)
		}
		m.nextWake = min(m.nextWake, max(s.hedgeAt, m.earliestHedge(now)))
	}
}

// mayHedge reports whether shards without a reply count as stragglers: the quorum
// has replied or the wait for it has expired.
func (m *Machine) mayHedge(now time.Duration) bool {
	return float64(m.mergedShards) >= m.params.HedgeQuorum*float64(len(m.shards)) || now >= m.quorumExpiry
}

// earliestHedge returns the earliest time at which a hedge may be sent.
func (m *Machine) earliestHedge(now time.Duration) time.Duration {
	if m.mayHedge(now) {
		return now
	}
	return m.quorumExpiry
}

// hedge tries to send a hedge, once per attempt. A hedge that the budget refuses is
// not tried again, because the budget refuses when upstreams are overloaded.
func (m *Machine) hedge(now time.Duration, shard int, budget Budget) {
	m.shards[shard].hedgeAt = never
	if m.suspected() {
		return
	}
	m.sendExtra(now, shard, KindHedge, budget)
}
