package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Machine is the state of one query. It is not safe for concurrent use.
type Machine struct {
	params   Params
	plan     Plan
	shards   []shardState
	attempts []attempt
	actions  []Action
	counters Counters
	phase    phase

	// quorumExpiry is the time from which hedges no longer wait for the quorum.
	quorumExpiry time.Duration
	// target is the time from which an answer with enough coverage is given even
	// if shards are pending; at deadline the query answers in any case.
	target, deadline time.Duration
	// nextWake is the time of the next hedge, target or deadline; requestedWake is
	// the time of the last WakeAt.
	nextWake, requestedWake time.Duration

	// missingWeight is the weight of the shards with status shardMissing.
	coveredWeight, missingWeight, totalWeight uint64
	// pendingShards counts the shards that are neither merged nor missing.
	mergedShards, pendingShards int
	// quorumMet is set once hedges no longer wait for the quorum.
	quorumMet bool
	// replans counts the requests for a newer snapshot; replanning is true while
	// one is outstanding.
	replans    int
	replanning bool
	// crashes counts crash-like losses. Nothing is sent once it has reached
	// Params.MaxCrashes, which sets crashLimitReached.
	crashes           int
	crashLimitReached bool
	// cleared is true once a reply has shown that the request does not crash leaves.
	cleared bool
}

// New returns a machine that has not been started.
func New(params Params, plan Plan) *Machine {
	params.MaxAttempts = max(params.MaxAttempts, 1)
	params.MaxCrashes = max(params.MaxCrashes, 1)
	params.MinCoveredWeight = max(params.MinCoveredWeight, 1)
	m := &Machine{params: params, requestedWake: never}
	m.reset(plan)
	return m
}

// Counters returns the current values of the query's counters.
func (m *Machine) Counters() Counters { return m.counters }

// Start begins the query. The returned slice is reused by the next call of Start
// or Step, which must not be made before all actions have been read.
func (m *Machine) Start(now time.Duration) []Action {
	m.actions = m.actions[:0]
	if m.phase != phaseNew {
		m.counters.UnexpectedEvents++
		return nil
	}
	m.target = now + m.params.target()
	m.deadline = now + m.params.Deadline
	m.quorumExpiry = m.target
	if m.params.HedgeQuorumTimeout > 0 {
		m.quorumExpiry = now + m.params.HedgeQuorumTimeout
	}
	m.sendInitial(now)
	m.finishOrWake(now)
	return m.actions
}

// Step handles one event. A nil budget refuses every extra send. The returned
// slice is reused by the next call of Step, which must not be made before all
// actions have been read.
func (m *Machine) Step(now time.Duration, event Event, budget Budget) []Action {
	m.actions = m.actions[:0]
	if m.phase == phaseNew || m.phase == phaseFinished {
		m.counters.UnexpectedEvents++
		return nil
	}
	switch ev := event.(type) {
	case Reply:
		m.onReply(now, &ev, budget)
	case Failed:
		m.onFailed(now, &ev, budget)
	case VersionRetired:
		m.onRetired(now, ev, budget)
	case Replanned:
		m.onReplanned(now, &ev, budget)
	case Timer:
		m.onTimer(now, budget)
	case CallerGone:
		m.finish(m.answer(errs.ReasonCancelled))
	case Stopping:
		m.finish(m.answerOfStop())
	}
	m.finishOrWake(now)
	return m.actions
}

// finishOrWake finishes the query if its answer is due. Otherwise it requests a
// wake-up if that is earlier than the one requested before.
func (m *Machine) finishOrWake(now time.Duration) {
	if m.phase == phaseFinished {
		return
	}
	if m.answerDue(now) {
		m.finish(m.answer(""))
		return
	}
	if m.nextWake < m.requestedWake {
		m.requestedWake = m.nextWake
		m.emit(WakeAt{At: m.nextWake})
	}
}

// answerDue reports whether the query has to answer now. A query with less than
// the minimum coverage waits until the deadline, since a late answer is worth more
// than none, unless the minimum can no longer be reached.
func (m *Machine) answerDue(now time.Duration) bool {
	if m.pendingShards == 0 || now >= m.deadline || m.coverageUnattainable() {
		return true
	}
	return now >= m.target && m.coveredWeight >= m.params.MinCoveredWeight
}

// coverageUnattainable reports whether the minimum coverage can no longer be
// reached. A minimum of 1 is left to the check of pendingShards, because all
// weights may be 0.
func (m *Machine) coverageUnattainable() bool {
	return m.params.MinCoveredWeight > 1 && m.totalWeight-m.missingWeight < m.params.MinCoveredWeight
}

// maySend reports whether further requests may be sent.
func (m *Machine) maySend(now time.Duration) bool {
	return !m.crashLimitReached && !m.answerDue(now)
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }
