package query

import "time"

// sendCanary sends the canary to the first shard without a request whose preferred leaf is
// warm, because the whole query waits for the canary. Without such a shard it uses the
// first one that has candidates. It reports whether it has sent one.
func (m *Machine) sendCanary(now time.Duration) bool {
	pick := -1
	for i := range m.plan.Shards {
		candidates := m.plan.Shards[i].Candidates
		if m.shards[i].status != shardUnsent || len(candidates) == 0 {
			continue
		}
		if pick < 0 || candidates[0].Warm {
			pick = i
		}
		if candidates[0].Warm {
			break
		}
	}
	if pick < 0 || !m.maySend(now) {
		return false
	}
	m.send(now, pick, 0, KindCanary)
	return true
}

// sendNextCanary sends another canary after one has failed without a crash: nothing shows
// yet that the request does not crash leaves. It uses a shard without a request or, if
// there is none, a further leaf of one whose canary failed. Without any of them the shards
// are missing; those without a request are left only when the answer is due.
func (m *Machine) sendNextCanary(now time.Duration, budget Budget) {
	if m.sendCanary(now) {
		return
	}
	for i := range m.shards {
		if s := &m.shards[i]; s.status == shardCanaryFailed && m.sendExtra(now, i, s.resend, budget) {
			return
		}
	}
	for i := range m.shards {
		if s := &m.shards[i]; s.status == shardCanaryFailed {
			m.markMissing(i, s.reason)
		}
	}
}

// fanOut sends a request to every shard that has none, and to those whose canary failed.
func (m *Machine) fanOut(now time.Duration, budget Budget) {
	m.phase = phaseFanOut
	for i := range m.shards {
		s := &m.shards[i]
		switch {
		case s.status == shardUnsent && m.maySend(now):
			m.send(now, i, 0, KindFirst)
		case s.status == shardCanaryFailed && !m.sendExtra(now, i, s.resend, budget):
			m.markMissing(i, s.reason)
		}
	}
}
