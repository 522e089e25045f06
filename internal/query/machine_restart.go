package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/snapshot"
)

func (m *Machine) onRetired(now time.Duration, r VersionRetired, budget Budget) {
	a := m.open(r.Attempt)
	if a == nil {
		return
	}
	m.end(r.Attempt, a)
	m.retire(now, a.shard, errs.ReasonVersionRetired, budget)
}

// retire handles a leaf that no longer serves the pinned snapshot. Replies keep
// being merged until the new plan is there, so that nothing is lost when there
// is none.
func (m *Machine) retire(now time.Duration, shard int, reason errs.Reason, budget Budget) {
	s := &m.shards[shard]
	if !m.replanning && !m.mayReplan(now) {
		m.lost(now, shard, reason, retiredKind(reason), budget)
		return
	}
	s.status = shardRetired
	s.hedgeAt = never
	s.note(reason)
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
	return m.maySend(now) && m.target-now >= m.params.restartTime()
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
	if r.OK && m.mayRestart(now) && m.waitsForPlan() {
		m.restart(now, r.Plan)
		return
	}
	m.stay(now, budget)
}

// waitsForPlan reports whether a shard still needs a newer snapshot. The other
// attempt of a retired shard may have replied in the meantime.
func (m *Machine) waitsForPlan() bool {
	for i := range m.shards {
		if m.shards[i].status == shardRetired {
			return true
		}
	}
	return false
}

// restart begins anew on another snapshot. A canary that has replied is not
// repeated.
func (m *Machine) restart(now time.Duration, plan Plan) {
	m.abortAll()
	m.emit(Discard{})
	m.counters.Restarts++
	m.pin(plan)
	m.launch(now)
}

// stay goes on with the pinned snapshot; retired shards try their other
// replicas, which may still serve it.
func (m *Machine) stay(now time.Duration, budget Budget) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.status != shardRetired {
			continue
		}
		s.status = shardRunning
		m.lost(now, i, s.reason, retiredKind(s.reason), budget)
	}
}

// retiredKind tells a leaf that refused the version from one that ran the
// request on another.
func retiredKind(reason errs.Reason) Kind {
	if reason == errs.ReasonVersionRetired {
		return KindMove
	}
	return KindRetry
}
