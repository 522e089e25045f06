package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

func (m *Machine) onFailed(now time.Duration, f *Failed, budget Budget) {
	if f.Crash && m.wasSent(f.Attempt) {
		m.crash()
	}
	a := m.open(f.Attempt)
	if a == nil {
		return
	}
	m.end(f.Attempt, a)
	m.lost(now, a.shard, failureReason(f), failureKind(f), budget)
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

func failureKind(f *Failed) Kind {
	if f.NotRun {
		return KindMove
	}
	return KindRetry
}

// wasSent reports whether the attempt was sent and did not end, be it aborted:
// a request may crash a leaf before its cancellation arrives.
func (m *Machine) wasSent(id uint64) bool {
	if id == 0 || id > uint64(len(m.attempts)) {
		return false
	}
	return m.attempts[id-1].state != attemptEnded
}

// crash counts a crash-like loss and stops all sends when there were too many.
// Requests in flight may finish.
func (m *Machine) crash() {
	m.crashes++
	if m.crashes < m.params.MaxCrashes {
		return
	}
	m.crashed = true
	m.replanning = false
	for i := range m.shards {
		s := &m.shards[i]
		switch {
		case s.status == shardUnsent:
			m.miss(i, errs.ReasonQuarantined)
		case s.status == shardRetired && s.idle():
			m.miss(i, s.reason)
		}
	}
}

// lost handles a shard that has one attempt less, and sends it to its next
// candidate unless another attempt is open.
func (m *Machine) lost(now time.Duration, shard int, reason errs.Reason, kind Kind, budget Budget) {
	s := &m.shards[shard]
	if s.status == shardRetired && m.replanning {
		return
	}
	s.note(reason)
	if m.phase == phaseCanary && !m.crashed {
		m.fanOut(now)
	}
	if !s.idle() {
		return
	}
	if !m.resend(now, shard, kind, budget) {
		m.miss(shard, s.reason)
	}
}

// resend tries the next candidate of a shard. It asks the budget last, so that
// nothing is spent without a send.
func (m *Machine) resend(now time.Duration, shard int, kind Kind, budget Budget) bool {
	s := &m.shards[shard]
	if s.sends >= m.params.MaxAttempts || !m.maySend(now) {
		return false
	}
	if m.params.AtMostOnce && kind != KindMove {
		return false
	}
	next := s.next(m.plan.Shards[shard].Candidates, kind == KindHedge)
	if next < 0 && kind == KindHedge && !m.params.NoSameLeafHedge {
		next = m.sameLeaf(shard)
	}
	if next < 0 || !m.spend(shard, kind, budget) {
		return false
	}
	m.send(now, shard, next, kind)
	return true
}

// sameLeaf returns the candidate of a shard's open attempt when it is warm, or
// -1. While an availability zone is out, many shards have one leaf. A second run
// in its other slot mostly ends before a straggler, whose slot is then free too.
func (m *Machine) sameLeaf(shard int) int {
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

func (m *Machine) spend(shard int, kind Kind, budget Budget) bool {
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

func (m *Machine) miss(shard int, reason errs.Reason) {
	s := &m.shards[shard]
	s.status = shardMissing
	s.reason = reason
	m.missed += m.plan.Shards[shard].Weight
	m.undecided--
}
