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
	// maxRunningQueries is the limit on running queries in the settings of the
	// entry process. queuedPerRunning is the length of the admission queue per
	// running query.
	maxRunningQueries = 256
	queuedPerRunning  = 4
)

// entry handles the queries that arrive in one availability zone.
type entry struct {
	sim       *sim
	zone      int
	rng       *rand.Rand
	queue     *admission.Queue
	budget    *entryBudget
	latencies *latencyEstimates
	planner   *planner

	// queued holds the queries that are not admitted yet.
	queued map[uint64]*queryRun
	nextID uint64
	// wakeNumber is the number of the latest wake-up. Earlier ones are ignored.
	wakeNumber uint64
}

func newEntry(s *sim, zone int, rng *rand.Rand) *entry {
	e := &entry{
		sim: s, zone: zone, rng: rng,
		queue:     admission.New(admission.Config{MaxRunning: maxRunningQueries, MaxQueued: queuedPerRunning * maxRunningQueries}),
		budget:    newEntryBudget(s),
		latencies: newLatencyEstimates(s.policy.HedgePercentile),
		queued:    make(map[uint64]*queryRun),
	}
	e.planner = newPlanner(s, e)
	return e
}

func (e *entry) setLeafStatus(leaf int, status leafStatus) {
	e.planner.statuses[leaf] = status
	e.planner.dirty = true
}

func (e *entry) setZoneOut(zone int, out bool) {
	e.planner.zoneOut[zone] = out
	e.planner.dirty = true
}

// arrive passes a caller's query to admission.
func (e *entry) arrive(class *topology.Class) {
	e.nextID++
	q := &queryRun{entry: e, id: e.nextID, class: class, arrivedAt: e.sim.Now}
	e.queued[q.id] = q
	e.stepAdmission(admission.Arrive{
		ID: q.id, Priority: class.Priority, Deadline: e.sim.Now + class.Deadline,
		ExpectedRunTime: class.LatencyTarget / 4,
	})
}

func (e *entry) stepAdmission(ev admission.Event) {
	actions := e.queue.Step(e.sim.Now, ev)
	e.scheduleWake()
	for _, a := range actions {
		switch a := a.(type) {
		case admission.Admit:
			q := e.queued[a.ID]
			delete(e.queued, a.ID)
			q.start(e.planner.pick(), e.queryParams(q.class))
		case admission.Refuse:
			q := e.queued[a.ID]
			delete(e.queued, a.ID)
			e.sim.result.recordRefusal(q.class, q.arrivedAt)
		}
	}
}

func (e *entry) scheduleWake() {
	at, ok := e.queue.NextWake(e.sim.Now)
	if !ok {
		return
	}
	e.wakeNumber++
	number := e.wakeNumber
	e.sim.At(at, func() {
		if number == e.wakeNumber {
			e.stepAdmission(admission.Wake{})
		}
	})
}

func (e *entry) queryParams(class *topology.Class) query.Params {
	return query.Params{
		Prefer: class.Prefer, LatencyTarget: class.LatencyTarget, Deadline: class.Deadline,
		MaxAttempts: maxAttempts, MaxRestarts: maxRestarts,
		Canary: class.Canary == topology.CanaryAlways && e.rng.Float64() < newFingerprintShare,
	}
}

const (
	maxAttempts = 3
	maxRestarts = 1
	// newFingerprintShare is the share of the queries whose fingerprint is new.
	// The others need no canary.
	newFingerprintShare = 0.05
)

// failedEvent converts a relay's reply that reports a failure.
func failedEvent(attempt uint64, r reply) query.Failed {
	return query.Failed{Attempt: attempt, Reason: errs.Reason(r.reason), NotRun: r.notRun, Crash: r.crash}
}

// isFirstSend reports whether a send is the first one to its shard, not a hedge,
// a retry or a move.
func isFirstSend(k query.Kind) bool { return k == query.KindFirst || k == query.KindCanary }

// hedgeDelayRefreshInterval is how often an entry rebuilds its plans with
// current hedge delays.
const hedgeDelayRefreshInterval = time.Second
