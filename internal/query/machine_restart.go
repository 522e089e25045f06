package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/snapshot"
)

func (m *Machine) onRetired(now time.Duration, r VersionRetired, budget Budget) {
	a := m.openAttempt(r.Attempt)
	if a == nil {
		return
	}
	m.completeAttempt(r.Attempt, a)
	m.onSnapshotUnavailable(now, a.shard, errs.ReasonVersionRetired, budget)
}

// onSnapshotUnavailable handles a leaf that no longer serves the pinned snapshot.
// If there is time for a restart, it requests a plan on a newer snapshot. Replies
// are merged until that plan arrives, so that no coverage is lost if there is none.
func (m *Machine) onSnapshotUnavailable(now time.Duration, shard int, reason errs.Reason, budget Budget) {
	s := &m.shards[shard]
	if !m.replanning && !m.mayReplan(now) {
		m.handleFailedAttempt(now, shard, reason, retiredResendKind(reason), budget)
		return
	}
	s.status = shardAwaitingPlan
	s.hedgeAt = never
	s.recordFailureReason(reason)
	if m.replanning {
		return
	}
	m.replanning = true
	m.replans++
	m.emit(Replan{NewerThan: m.plan.Snapshot})
}

func (m *Machine) mayReplan(now time.Duration) bool {
	return m.replans < m.params.MaxRestarts && m.mayRestart(now)
}

func (m *Machine) mayRestart(now time.Duration) bool {
	return m.maySend(now) && m.target-now >= m.params.minRestartTime()
}

func (m *Machine) onReplanned(now time.Duration, r *Replanned, budget Budget) {
	if !m.replanning {
		m.counters.UnexpectedEvents++
		return
	}
	m.replanning = false
	if r.OK && !snapshot.Newer(r.Plan.Snapshot, m.plan.Snapshot) {
		m.counters.UnexpectedEvents++
		r.OK = false
	}
	if r.OK && m.mayRestart(now) && m.anyShardAwaitsPlan() {
		m.restart(now, r.Plan)
		return
	}
	m.keepSnapshot(now, budget)
}

// anyShardAwaitsPlan reports whether a shard still needs a newer snapshot. Another
// attempt of the shard may have replied since the plan was requested.
func (m *Machine) anyShardAwaitsPlan() bool {
	for i := range m.shards {
		if m.shards[i].status == shardAwaitingPlan {
			return true
		}
	}
	return false
}

// restart starts the query again on a newer snapshot. A canary that has completed
// is not repeated.
func (m *Machine) restart(now time.Duration, plan Plan) {
	m.abortAll()
	m.emit(Discard{})
	m.counters.Restarts++
	m.reset(plan)
	m.sendInitial(now)
}

// keepSnapshot continues with the pinned snapshot. Shards that were waiting for a
// newer one try their other replicas, which may still serve the pinned one.
func (m *Machine) keepSnapshot(now time.Duration, budget Budget) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.status != shardAwaitingPlan {
			continue
		}
		s.status = shardRunning
		m.handleFailedAttempt(now, i, s.reason, retiredResendKind(s.reason), budget)
	}
}

// retiredResendKind returns KindMove if the leaf refused the version, and KindRetry
// if it ran the request on another one.
func retiredResendKind(reason errs.Reason) Kind {
	if reason == errs.ReasonVersionRetired {
		return KindMove
	}
	return KindRetry
}
