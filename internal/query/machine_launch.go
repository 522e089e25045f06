package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// reset installs a plan and clears the progress of all shards.
func (m *Machine) reset(plan Plan) {
	m.plan = plan
	m.shards = make([]shardState, len(plan.Shards))
	if m.attempts == nil {
		m.attempts = make([]attempt, 0, len(plan.Shards)+len(plan.Shards)/4+1)
		m.actions = make([]Action, 0, len(plan.Shards)+2)
	}
	m.coveredWeight, m.missingWeight, m.totalWeight, m.mergedShards = 0, 0, 0, 0
	m.pendingShards, m.quorumMet = len(plan.Shards), false
	for i := range plan.Shards {
		m.totalWeight += plan.Shards[i].Weight
	}
}

// sendInitial sends the canary, or the whole fan-out if no canary is needed.
func (m *Machine) sendInitial(now time.Duration) {
	m.nextWake = min(m.target, m.deadline)
	m.markUnavailable()
	if m.params.Canary && m.phase != phaseFanOut {
		m.phase = phaseCanary
		m.sendCanary(now)
		return
	}
	m.fanOut(now, nil)
}

func (m *Machine) markUnavailable() {
	for i := range m.plan.Shards {
		if len(m.plan.Shards[i].Candidates) > 0 {
			continue
		}
		reason := m.plan.Shards[i].UnavailableReason
		if reason == "" {
			reason = errs.ReasonNoLeaf
		}
		m.markMissing(i, reason)
	}
}

func (m *Machine) send(now time.Duration, shard, candidate int, kind Kind) {
	m.attempts = append(m.attempts, attempt{shard: shard, candidate: candidate, kind: kind})
	id := uint64(len(m.attempts))
	s, plan := &m.shards[shard], &m.plan.Shards[shard]
	s.status = shardRunning
	s.tried |= 1 << candidate
	s.sends++
	repeats := m.openAttemptAt(s, candidate)
	s.replaceOpen(0, id)
	m.scheduleHedge(now, s, s.hedgeDelay(plan.Candidates, candidate), kind)
	m.emit(Send{
		Attempt: id, Shard: plan.Shard, Leaf: plan.Candidates[candidate].Leaf,
		Snapshot: m.plan.Snapshot, StartBy: m.startBy(now), Kind: kind,
		RepeatOf: repeats,
	})
}

// openAttemptAt returns the number of a shard's open attempt at a candidate, or 0.
func (m *Machine) openAttemptAt(s *shardState, candidate int) uint64 {
	for _, id := range s.open {
		if id != 0 && m.attempts[id-1].candidate == candidate {
			return id
		}
	}
	return 0
}

// scheduleHedge sets the time of the hedge of an attempt. Hedges are not hedged,
// and neither are canaries and their retries, which must reach one leaf at a time.
func (m *Machine) scheduleHedge(now time.Duration, s *shardState, after time.Duration, kind Kind) {
	s.hedgeAt = never
	if after <= 0 || kind == KindHedge || m.phase == phaseCanary {
		return
	}
	s.hedgeAt = now + after
	m.nextWake = min(m.nextWake, s.hedgeAt)
}

// startBy returns the target before the target has passed, and the deadline after
// that. Work that starts after the target is useful only to a query whose coverage
// is still too low.
func (m *Machine) startBy(now time.Duration) time.Duration {
	if now < m.target {
		return m.target
	}
	return m.deadline
}
