package measure

import (
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/admission"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// maxQueries is the number of running queries in the entries' settings,
	// and queuedPerRunning is how many wait for each.
	maxQueries       = 256
	queuedPerRunning = 4
)

// entry decides over the queries that arrive in one availability zone.
type entry struct {
	sim   *sim
	zone  int
	rng   *rand.Rand
	queue *admission.Queue
	spend *spending
	delay *delays
	plan  *planner

	waiting map[uint64]*queryRun
	nextID  uint64
	timers  uint64
}

func newEntry(s *sim, zone int, rng *rand.Rand) *entry {
	e := &entry{
		sim: s, zone: zone, rng: rng,
		queue:   admission.New(admission.Config{MaxRunning: maxQueries, MaxQueued: queuedPerRunning * maxQueries}),
		spend:   newSpending(s),
		delay:   newDelays(s.policy.Percentile),
		waiting: make(map[uint64]*queryRun),
	}
	e.plan = newPlanner(s, e)
	return e
}

func (e *entry) learn(leaf int, f facts) {
	e.plan.facts[leaf] = f
	e.plan.dirty = true
}

func (e *entry) setZone(zone int, out bool) {
	e.plan.out[zone] = out
	e.plan.dirty = true
}

// arrive takes a query of a caller.
func (e *entry) arrive(class *topology.Class) {
	e.nextID++
	q := &queryRun{entry: e, id: e.nextID, class: class, arrived: e.sim.Now}
	e.waiting[q.id] = q
	e.admission(admission.Arrive{
		ID: q.id, Priority: class.Priority, Deadline: e.sim.Now + class.Deadline,
		ExpectedRunTime: class.LatencyTarget / 4,
	})
}

func (e *entry) admission(ev admission.Event) {
	actions := e.queue.Step(e.sim.Now, ev)
	e.wake()
	for _, a := range actions {
		switch a := a.(type) {
		case admission.Admit:
			q := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			q.start(e.plan.next(), e.params(q.class))
		case admission.Refuse:
			q := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			e.sim.result.refused(q.class, q.arrived)
		}
	}
}

func (e *entry) wake() {
	at, ok := e.queue.NextWake(e.sim.Now)
	if !ok {
		return
	}
	e.timers++
	number := e.timers
	e.sim.At(at, func() {
		if number == e.timers {
			e.admission(admission.Wake{})
		}
	})
}

func (e *entry) params(class *topology.Class) query.Params {
	return query.Params{
		Prefer: class.Prefer, LatencyTarget: class.LatencyTarget, Deadline: class.Deadline,
		MaxAttempts: maxAttempts, MaxRestarts: maxRestarts,
		Canary: class.Canary == topology.CanaryAlways && e.rng.Float64() < unseenShare,
	}
}

const (
	maxAttempts = 3
	maxRestarts = 1
	// unseenShare is the part of the queries whose fingerprint is new; the
	// others need no canary.
	unseenShare = 0.05
)

// failedEvent converts a reply of a relay that is no answer.
func failedEvent(attempt uint64, r reply) query.Failed {
	return query.Failed{Attempt: attempt, Reason: errs.Reason(r.reason), NotRun: r.notRun, Crash: r.crash}
}

// firstSend reports whether a send is not an extra one.
func firstSend(k query.Kind) bool { return k == query.KindFirst || k == query.KindCanary }

// hedgeDelayAge is how often an entry takes new hedge delays into its plans.
const hedgeDelayAge = time.Second
