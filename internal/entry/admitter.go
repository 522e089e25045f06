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

// admitter serialises the calls of the admission queue and lets queries wait
// for its decisions. It is safe for concurrent use.
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
		queue:   admission.New(admission.Config{MaxRunning: maxRunning, MaxQueued: queuedPerRunning * maxRunning}),
		waiting: make(map[uint64]chan errs.Reason),
	}
}

// queuedPerRunning is how many queries wait for each one that may run. More
// would only wait for their deadline: most classes finish well within a
// quarter of it.
const queuedPerRunning = 4

// admit waits until a query may run. The returned function ends it.
func (a *admitter) admit(ctx context.Context, class *topology.Class, expected time.Duration) (func(), *errs.Error) {
	decision := make(chan errs.Reason, 1)
	id := a.arrive(class, expected, decision)
	select {
	case reason := <-decision:
		return a.decided(id, class, reason)
	case <-ctx.Done():
		a.step(admission.Cancel{ID: id})
	}
	// The cancellation was decided under the lock: either it was refused, or
	// it had been admitted just before and must be ended.
	if reason := <-decision; reason == "" {
		a.step(admission.Complete{ID: id})
	}
	return nil, errs.New(errs.StepAdmission, a.proc.Name(), errs.ReasonCancelled, true, "the caller left")
}

func (a *admitter) decided(id uint64, class *topology.Class, reason errs.Reason) (func(), *errs.Error) {
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

// apply hands decisions to those who wait; "" admits.
func (a *admitter) apply(actions []admission.Action) {
	for _, action := range actions {
		switch d := action.(type) {
		case admission.Admit:
			a.tell(d.ID, "")
		case admission.Refuse:
			a.tell(d.ID, d.Reason)
		}
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *admitter) tell(id uint64, reason errs.Reason) {
	if ch, ok := a.waiting[id]; ok {
		ch <- reason
		delete(a.waiting, id)
	}
}

// run refuses waiting queries as their time runs out, until the context is
// done.
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
