package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// pin takes a plan and forgets all progress.
func (m *Machine) pin(plan Plan) {
	m.plan = plan
	m.shards = make([]shardState, len(plan.Shards))
	if m.attempts == nil {
		m.attempts = make([]attempt, 0, len(plan.Shards)+len(plan.Shards)/4+1)
		m.out = make([]Action, 0, len(plan.Shards)+2)
	}
	m.covered, m.missed, m.total, m.merged = 0, 0, 0, 0
	m.undecided, m.quorumMet = len(plan.Shards), false
	for i := range plan.Shards {
		m.total += plan.Shards[i].Weight
	}
}

// launch sends the canary, or all shards when none is asked for.
func (m *Machine) launch(now time.Duration) {
	m.wake = min(m.target, m.deadline)
	m.skipUnavailable()
	if m.params.Canary && m.phase != phaseFanOut {
		m.phase = phaseCanary
		m.sendCanary(now)
		return
	}
	m.fanOut(now)
}

func (m *Machine) skipUnavailable() {
	for i := range m.plan.Shards {
		if len(m.plan.Shards[i].Candidates) > 0 {
			continue
		}
		reason := m.plan.Shards[i].UnavailableReason
		if reason == "" {
			reason = errs.ReasonNoLeaf
		}
		m.miss(i, reason)
	}
}

// sendCanary picks the first shard whose preferred leaf is warm, because the
// whole query waits for the canary.
func (m *Machine) sendCanary(now time.Duration) {
	pick := -1
	for i := range m.plan.Shards {
		candidates := m.plan.Shards[i].Candidates
		if len(candidates) == 0 {
			continue
		}
		if pick < 0 || candidates[0].Warm {
			pick = i
		}
		if candidates[0].Warm {
			break
		}
	}
	if pick >= 0 && m.maySend(now) {
		m.send(now, pick, 0, KindCanary)
	}
}

// fanOut sends every shard that has not been sent.
func (m *Machine) fanOut(now time.Duration) {
	m.phase = phaseFanOut
	for i := range m.shards {
		if m.shards[i].status == shardUnsent && m.maySend(now) {
			m.send(now, i, 0, KindFirst)
		}
	}
}

func (m *Machine) send(now time.Duration, shard, candidate int, kind Kind) {
	m.attempts = append(m.attempts, attempt{shard: shard, candidate: candidate, kind: kind})
	id := uint64(len(m.attempts))
	s, plan := &m.shards[shard], &m.plan.Shards[shard]
	s.status = shardRunning
	s.tried |= 1 << candidate
	s.sends++
	repeats := m.openAt(s, candidate)
	s.replace(0, id)
	m.armHedge(now, s, s.hedgeAfter(plan.Candidates, candidate), kind)
	m.emit(Send{
		Attempt: id, Shard: plan.Shard, Leaf: plan.Candidates[candidate].Leaf,
		Snapshot: m.plan.Snapshot, StartBy: m.startBy(now), Kind: kind,
		RepeatOf: repeats,
	})
}

// openAt returns the open attempt of a shard at a candidate, or 0.
func (m *Machine) openAt(s *shardState, candidate int) uint64 {
	for _, id := range s.open {
		if id != 0 && m.attempts[id-1].candidate == candidate {
			return id
		}
	}
	return 0
}

// armHedge plans the hedge of an attempt. A hedge gets none, and neither does
// the canary, which must reach one leaf only.
func (m *Machine) armHedge(now time.Duration, s *shardState, after time.Duration, kind Kind) {
	s.hedgeAt = never
	if after <= 0 || kind == KindHedge || kind == KindCanary {
		return
	}
	s.hedgeAt = now + after
	m.wake = min(m.wake, s.hedgeAt)
}

// startBy is the target as long as it lies ahead: work that starts after it is
// of use only to a query that has no coverage by then.
func (m *Machine) startBy(now time.Duration) time.Duration {
	if now < m.target {
		return m.target
	}
	return m.deadline
}
