package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/snapshot"
)

// onReply merges a reply whose leaf, shard and snapshot match its attempt.
func (m *Machine) onReply(now time.Duration, r *Reply, budget Budget) {
	a := m.openAttempt(r.Attempt)
	if a == nil || !m.matchesAttempt(a, r) {
		return
	}
	if r.Snapshot != m.plan.Snapshot {
		m.onSnapshotMismatch(now, r, a, budget)
		return
	}
	if r.Hits == 0 {
		m.counters.EmptyReplies++
	}
	m.merge(now, r.Attempt, a, budget)
}

// matchesAttempt reports whether a reply is from the shard and leaf of its
// attempt. The attempt of a reply that does not match stays open, as its own reply
// may still arrive.
func (m *Machine) matchesAttempt(a *attempt, r *Reply) bool {
	plan := &m.plan.Shards[a.shard]
	if r.Shard != plan.Shard {
		m.counters.WrongShard++
		return false
	}
	if r.Leaf != plan.Candidates[a.candidate].Leaf {
		m.counters.WrongLeaf++
		return false
	}
	return true
}

// onSnapshotMismatch drops a reply on another snapshot. A leaf that replies on a
// newer snapshot no longer serves the pinned one.
func (m *Machine) onSnapshotMismatch(now time.Duration, r *Reply, a *attempt, budget Budget) {
	m.counters.WrongSnapshot++
	m.completeAttempt(r.Attempt, a)
	if snapshot.Newer(r.Snapshot, m.plan.Snapshot) {
		m.onSnapshotUnavailable(now, a.shard, errs.ReasonSnapshotMismatch, budget)
		return
	}
	m.handleFailedAttempt(now, a.shard, errs.ReasonSnapshotMismatch, KindRetry, budget)
}

func (m *Machine) merge(now time.Duration, id uint64, a *attempt, budget Budget) {
	m.completeAttempt(id, a)
	s := &m.shards[a.shard]
	s.status = shardMerged
	m.pendingShards--
	m.mergedShards++
	m.coveredWeight += m.plan.Shards[a.shard].Weight
	if a.kind == KindHedge {
		m.counters.HedgeWins++
	}
	m.emit(Merge{Attempt: id})
	m.abortShard(s)
	m.clearSuspicion(now, budget)
	if m.phase == phaseCanary {
		m.fanOut(now, budget)
	}
	m.wakeForHedges(now)
}

// wakeForHedges schedules a wake-up for the hedges that waited for the quorum,
// once the quorum is reached.
func (m *Machine) wakeForHedges(now time.Duration) {
	if m.params.HedgeQuorum <= 0 || !m.mayHedge(now) || m.quorumMet {
		return
	}
	m.quorumMet = true
	for i := range m.shards {
		if s := &m.shards[i]; s.status == shardRunning {
			m.nextWake = min(m.nextWake, max(s.hedgeAt, now))
		}
	}
}

// openAttempt returns the attempt with the given number if it is open. Otherwise
// it counts the event as stray and returns nil.
func (m *Machine) openAttempt(id uint64) *attempt {
	if id == 0 || id > uint64(len(m.attempts)) {
		m.counters.UnknownAttempt++
		return nil
	}
	a := &m.attempts[id-1]
	if a.state != attemptOpen {
		m.counters.ClosedAttempt++
		return nil
	}
	return a
}

func (m *Machine) completeAttempt(id uint64, a *attempt) {
	a.state = attemptCompleted
	m.shards[a.shard].replaceOpen(id, 0)
}
