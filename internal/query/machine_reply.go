package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/snapshot"
)

// onReply merges a reply that matches its attempt in leaf, shard and snapshot.
func (m *Machine) onReply(now time.Duration, r *Reply, budget Budget) {
	a := m.open(r.Attempt)
	if a == nil || !m.addressed(a, r) {
		return
	}
	if r.Snapshot != m.plan.Snapshot {
		m.onOtherSnapshot(now, r, a, budget)
		return
	}
	if r.Hits == 0 {
		m.counters.EmptyReplies++
	}
	m.merge(now, r.Attempt, a)
}

// addressed drops a reply that was delivered to the wrong attempt. The attempt
// stays open, as its own reply may still come.
func (m *Machine) addressed(a *attempt, r *Reply) bool {
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

// onOtherSnapshot drops the reply of a leaf that switched snapshots. One that
// switched to a newer snapshot no longer serves the pinned one.
func (m *Machine) onOtherSnapshot(now time.Duration, r *Reply, a *attempt, budget Budget) {
	m.counters.WrongSnapshot++
	m.end(r.Attempt, a)
	if snapshot.Newer(r.Snapshot, m.plan.Snapshot) {
		m.retire(now, a.shard, errs.ReasonSnapshotMismatch, budget)
		return
	}
	m.lost(now, a.shard, errs.ReasonSnapshotMismatch, KindRetry, budget)
}

func (m *Machine) merge(now time.Duration, id uint64, a *attempt) {
	m.end(id, a)
	s := &m.shards[a.shard]
	s.status = shardMerged
	m.undecided--
	m.merged++
	m.covered += m.plan.Shards[a.shard].Weight
	if a.kind == KindHedge {
		m.counters.HedgeWins++
	}
	m.emit(Merge{Attempt: id})
	m.abortShard(s)
	if m.phase == phaseCanary {
		m.fanOut(now)
	}
	m.wakeForHedges(now)
}

// wakeForHedges asks for a timer when this reply completes the quorum, after
// which hedges that were held back are due.
func (m *Machine) wakeForHedges(now time.Duration) {
	if m.params.HedgeQuorum <= 0 || !m.mayHedge(now) || m.quorumMet {
		return
	}
	m.quorumMet = true
	for i := range m.shards {
		if s := &m.shards[i]; s.status == shardRunning {
			m.wake = min(m.wake, max(s.hedgeAt, now))
		}
	}
}

// open returns an open attempt; others are counted and dropped.
func (m *Machine) open(id uint64) *attempt {
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

func (m *Machine) end(id uint64, a *attempt) {
	a.state = attemptEnded
	m.shards[a.shard].replace(id, 0)
}
