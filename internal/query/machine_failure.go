package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// onFailed handles the failure of an attempt. A crash counts even if the attempt
// was aborted before.
func (m *Machine) onFailed(now time.Duration, f *Failed, budget Budget) {
	if f.Crash && m.mayBeRunning(f.Attempt) {
		m.recordCrash()
	}
	a := m.openAttempt(f.Attempt)
	if a == nil {
		return
	}
	m.completeAttempt(f.Attempt, a)
	m.addCandidates(a.shard, f.Candidates)
	m.handleFailedAttempt(now, a.shard, failureReason(f), resendKind(f), budget)
}

func failureReason(f *Failed) errs.Reason {
	if f.Crash {
		return errs.ReasonCrashed
	}
	if f.Reason == "" {
		return errs.ReasonInternal
	}
	return f.Reason
}

// lacksCapacity reports whether a leaf that works refused an attempt because of its load.
func lacksCapacity(reason errs.Reason) bool {
	return reason == errs.ReasonOverloaded || reason == errs.ReasonShed
}

func resendKind(f *Failed) Kind {
	if f.NotRun {
		return KindMove
	}
	return KindRetry
}

// mayBeRunning reports whether the attempt was sent and has got neither a reply nor
// a failure. This includes aborted attempts, since a request may crash a leaf
// before its cancellation arrives.
func (m *Machine) mayBeRunning(id uint64) bool {
	if id == 0 || id > uint64(len(m.attempts)) {
		return false
	}
	return m.attempts[id-1].state != attemptCompleted
}

// recordCrash counts a crash-like loss and stops all sends at the limit. Requests
// in flight may complete; shards without one can get no reply any more and are
// marked as missing.
func (m *Machine) recordCrash() {
	if m.cleared {
		return
	}
	m.crashes++
	if m.crashes < m.params.MaxCrashes || m.suspected() {
		return
	}
	m.crashLimitReached = true
	m.replanning = false
	for i := range m.shards {
		s := &m.shards[i]
		switch {
		case s.status == shardUnsent:
			m.markMissing(i, errs.ReasonQuarantined)
		case s.status == shardAwaitingPlan && s.idle(), s.status == shardCanaryFailed:
			m.markMissing(i, s.reason)
		}
	}
}

// handleFailedAttempt records why a shard's attempt brought no reply to merge.
// Unless another attempt of the shard is open, it sends a request to the next
// candidate or marks the shard as missing. After a failed canary the next one is
// sent, or the whole fan-out if the canary met an overload and the class is not
// suspect. A shard that waits for a newer plan is handled when the plan arrives.
func (m *Machine) handleFailedAttempt(now time.Duration, shard int, reason errs.Reason, kind Kind, budget Budget) {
	s := &m.shards[shard]
	if s.status == shardAwaitingPlan && m.replanning {
		return
	}
	s.recordFailureReason(reason)
	if m.phase == phaseCanary && !m.crashLimitReached {
		s.status, s.resend = shardCanaryFailed, kind
		if lacksCapacity(reason) && kind == KindMove && !m.params.Suspect && m.crashes == 0 {
			m.fanOut(now, budget)
			return
		}
		m.sendNextCanary(now, budget)
		return
	}
	if !s.idle() {
		return
	}
	if m.suspected() && !m.params.AtMostOnce {
		s.status, s.resend = shardHeld, kind
		m.sendHeld(now, budget)
		return
	}
	if !m.sendExtra(now, shard, kind, budget) {
		m.markMissing(shard, s.reason)
	}
}

// sendExtra sends a hedge, retry or move to the next candidate of a shard and
// reports whether it did. The budget is checked last, so that nothing is spent
// without a send.
func (m *Machine) sendExtra(now time.Duration, shard int, kind Kind, budget Budget) bool {
	s := &m.shards[shard]
	if s.sends >= m.params.MaxAttempts || !m.maySend(now) {
		return false
	}
	if m.params.AtMostOnce && kind != KindMove {
		return false
	}
	next := s.nextCandidate(m.plan.Shards[shard].Candidates, kind == KindHedge)
	if next < 0 && kind == KindHedge && !m.params.NoSameLeafHedge {
		next = m.sameLeafCandidate(shard)
	}
	if next < 0 || !m.trySpend(shard, kind, budget) {
		return false
	}
	m.send(now, shard, next, kind)
	return true
}

// sameLeafCandidate returns the candidate of a shard's open attempt if that leaf
// is warm, or -1. During the outage of an availability zone, many shards have only
// one leaf. If the open attempt is a straggler, a second one in the leaf's other
// slot usually completes first; aborting the straggler then frees its slot too.
func (m *Machine) sameLeafCandidate(shard int) int {
	for _, id := range m.shards[shard].open {
		if id == 0 {
			continue
		}
		candidate := m.attempts[id-1].candidate
		if m.plan.Shards[shard].Candidates[candidate].Warm {
			return candidate
		}
	}
	return -1
}

func (m *Machine) trySpend(shard int, kind Kind, budget Budget) bool {
	if budget == nil || !budget.TrySpend(m.plan.Shards[shard].Shard, kind) {
		m.counters.Denied++
		return false
	}
	switch kind {
	case KindHedge:
		m.counters.Hedges++
	case KindMove:
		m.counters.Moves++
	default:
		m.counters.Retries++
	}
	return true
}

func (m *Machine) markMissing(shard int, reason errs.Reason) {
	s := &m.shards[shard]
	s.status = shardMissing
	s.reason = reason
	m.missingWeight += m.plan.Shards[shard].Weight
	m.pendingShards--
}
