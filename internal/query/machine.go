package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Machine runs one query. It is not safe for concurrent use.
type Machine struct {
	params   Params
	plan     Plan
	shards   []shardState
	attempts []attempt
	out      []Action
	counters Counters
	phase    phase

	// hedgeLatest is when hedges are due whatever the other shards do.
	hedgeLatest time.Duration
	// target is when a partial answer is given, deadline when any is.
	target, deadline time.Duration
	// wake is the next time that matters, armed what the shell was told.
	wake, armed time.Duration

	// missed is the weight of the shards that are given up.
	covered, missed, total uint64
	merged, undecided      int
	// quorumMet is true once hedges are not held back any more.
	quorumMet bool
	// replans counts the requests for a newer snapshot.
	replans    int
	replanning bool
	// crashes counts crash-like losses; crashed is set when there were too many,
	// and nothing is sent after that.
	crashes int
	crashed bool
}

// New returns a machine that has not started.
func New(params Params, plan Plan) *Machine {
	params.MaxAttempts = max(params.MaxAttempts, 1)
	params.MaxCrashes = max(params.MaxCrashes, 1)
	params.MinCoveredWeight = max(params.MinCoveredWeight, 1)
	m := &Machine{params: params, armed: never}
	m.pin(plan)
	return m
}

// Counters returns what the query has counted so far.
func (m *Machine) Counters() Counters { return m.counters }

// Start begins the query. The actions are valid until the next call of Start
// or Step, which must not be made before all of them have been read.
func (m *Machine) Start(now time.Duration) []Action {
	m.out = m.out[:0]
	if m.phase != phaseNew {
		m.counters.UnexpectedEvents++
		return nil
	}
	m.target = now + m.params.target()
	m.deadline = now + m.params.Deadline
	m.hedgeLatest = m.target
	if m.params.HedgeQuorumTimeout > 0 {
		m.hedgeLatest = now + m.params.HedgeQuorumTimeout
	}
	m.launch(now)
	m.settle(now)
	return m.out
}

// Step handles one event. A nil budget refuses everything. The actions are
// valid until the next call of Step, which must not be made before all of them
// have been read.
func (m *Machine) Step(now time.Duration, event Event, budget Budget) []Action {
	m.out = m.out[:0]
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
		m.finish(errs.ReasonCancelled)
	}
	m.settle(now)
	return m.out
}

// settle ends the query when it is due and else asks for the next wake-up.
func (m *Machine) settle(now time.Duration) {
	if m.phase == phaseFinished {
		return
	}
	if m.due(now) {
		m.finish("")
		return
	}
	if m.wake < m.armed {
		m.armed = m.wake
		m.emit(WakeAt{At: m.wake})
	}
}

// due reports whether the query has to answer now. A query with too little
// coverage waits until the deadline, since a late answer is worth more than none,
// unless the least coverage can no longer be reached.
func (m *Machine) due(now time.Duration) bool {
	if m.undecided == 0 || now >= m.deadline || m.outOfReach() {
		return true
	}
	return now >= m.target && m.covered >= m.params.MinCoveredWeight
}

// outOfReach reports whether the least coverage cannot be reached any more. The
// least of 1 is out of reach when nothing is undecided, also with weights of 0.
func (m *Machine) outOfReach() bool {
	return m.params.MinCoveredWeight > 1 && m.total-m.missed < m.params.MinCoveredWeight
}

// maySend reports whether a send is still of use.
func (m *Machine) maySend(now time.Duration) bool {
	return !m.crashed && !m.due(now)
}

func (m *Machine) emit(action Action) { m.out = append(m.out, action) }
