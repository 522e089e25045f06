package entry

import (
	"context"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/admission"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// admitter serialises access to the admission queue and blocks each query until
// the queue has decided on it. It is safe for concurrent use.
type admitter struct {
	proc *telemetry.Process
	wake chan struct{}

	queueMu sync.Mutex
	queue   *admission.Queue
	nextID  uint64
	waiting map[uint64]chan errs.Reason
}

func newAdmitter(proc *telemetry.Process, maxRunning int) *admitter {
	return &admitter{
		proc: proc, wake: make(chan struct{}, 1),
		queue:   admission.New(admission.Config{MaxRunning: maxRunning, MaxQueued: maxQueuedPerRunning * maxRunning}),
		waiting: make(map[uint64]chan errs.Reason),
	}
}

// maxQueuedPerRunning is the number of queries that may wait per query that may
// run. Most classes finish well within a quarter of their deadline, so that a queue
// of this length is served in time; further queries would only wait for their
// deadline.
const maxQueuedPerRunning = 4

// admit waits until a query may run. The caller calls the returned function when
// the query has completed.
func (a *admitter) admit(ctx context.Context, class *topology.Class, expected time.Duration) (func(), *errs.Error) {
	decision := make(chan errs.Reason, 1)
	id := a.arrive(class, expected, decision)
	select {
	case reason := <-decision:
		return a.admissionResult(id, class, reason)
	case <-ctx.Done():
		a.step(admission.Cancel{ID: id})
	}
	// The queue has decided by now: it refused the query on the cancellation, or
	// had admitted it before. An admitted query must be reported as complete.
	if reason := <-decision; reason == "" {
		a.step(admission.Complete{ID: id})
	}
	return nil, errs.New(errs.StepAdmission, a.proc.Name(), errs.ReasonCancelled, true, "the caller left")
}

// admissionResult converts a decision of the queue; an empty reason means that the
// query is admitted.
func (a *admitter) admissionResult(id uint64, class *topology.Class, reason errs.Reason) (func(), *errs.Error) {
	if reason != "" {
		return nil, errs.New(errs.StepAdmission, a.proc.Name(), reason, true, "class %q is shed", class.ID)
	}
	return func() { a.step(admission.Complete{ID: id}) }, nil
}

func (a *admitter) arrive(class *topology.Class, expected time.Duration, decision chan errs.Reason) uint64 {
	a.queueMu.Lock()
	defer a.queueMu.Unlock()
	a.nextID++
	id := a.nextID
	a.waiting[id] = decision
	now := a.proc.Now()
	a.apply(a.queue.Step(now, admission.Arrive{
		ID: id, Priority: class.Priority, Deadline: now + class.Deadline, ExpectedRunTime: expected,
	}))
	return id
}

func (a *admitter) step(ev admission.Event) {
	a.queueMu.Lock()
	defer a.queueMu.Unlock()
	a.apply(a.queue.Step(a.proc.Now(), ev))
}

// apply sends each decision to the query that waits for it. An empty reason means
// that the query is admitted.
func (a *admitter) apply(actions []admission.Action) {
	for _, action := range actions {
		switch d := action.(type) {
		case admission.Admit:
			a.sendDecision(d.ID, "")
		case admission.Refuse:
			a.sendDecision(d.ID, d.Reason)
		}
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *admitter) sendDecision(id uint64, reason errs.Reason) {
	if ch, ok := a.waiting[id]; ok {
		ch <- reason
		delete(a.waiting, id)
	}
}

// run refuses waiting queries that can no longer meet their deadline, until the
// context is cancelled.
func (a *admitter) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-a.wake:
		case <-timer.C:
			a.step(admission.Wake{})
		case <-ctx.Done():
			return
		}
		timer.Reset(a.untilWake())
	}
}

func (a *admitter) untilWake() time.Duration {
	a.queueMu.Lock()
	defer a.queueMu.Unlock()
	now := a.proc.Now()
	at, ok := a.queue.NextWake(now)
	if !ok {
		return time.Hour
	}
	return max(at-now, 0)
}
