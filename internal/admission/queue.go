package admission

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/indexheap"
)

// Config bounds a Queue.
type Config struct {
	// MaxRunning is the maximum number of queries that run concurrently.
	MaxRunning int
	// MaxQueued is the maximum number of queries that wait.
	MaxQueued int
}

// Queue makes the admission decisions of one entry process. It is not safe for
// concurrent use.
type Queue struct {
	config  Config
	running map[uint64]struct{}
	waiting map[uint64]*item
	// levels is sorted by priority number in ascending order.
	levels     []*priorityLevel
	expiryHeap *indexheap.Heap[*item]

	arrivals   uint64
	admissions uint64
	// sinceLowerAdmission counts the admissions for which several priorities
	// waited, since the last of them that went to a lower priority.
	sinceLowerAdmission int
	actions             []Action
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:     config,
		running:    make(map[uint64]struct{}),
		waiting:    make(map[uint64]*item),
		expiryHeap: newHeap(expiryOrder),
	}
}

// Step applies an event at the time now and returns the resulting decisions.
func (q *Queue) Step(now time.Duration, ev Event) []Action {
	q.actions = nil
	q.refuseExpired(now)
	switch ev := ev.(type) {
	case Arrive:
		q.arrive(now, ev)
	case Complete:
		delete(q.running, ev.ID)
	case Cancel:
		q.cancel(ev.ID)
	case SetCapacity:
		q.config.MaxRunning = ev.MaxRunning
	}
	q.admit()
	q.shed()
	return q.actions
}

// NextWake returns the earliest time at which a waiting query must be refused
// unless another event occurs first.
func (q *Queue) NextWake(now time.Duration) (time.Duration, bool) {
	if q.expiryHeap.Len() == 0 {
		return 0, false
	}
	return max(now, q.expiryHeap.Peek().latestStart+1), true
}

// Running returns the number of admitted queries that have not completed.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting queries.
func (q *Queue) Waiting() int { return len(q.waiting) }

func (q *Queue) arrive(now time.Duration, ev Arrive) {
	if q.isKnown(ev.ID) {
		return
	}
	latestStart := ev.Deadline - max(ev.ExpectedRunTime, 0)
	if latestStart < now {
		q.refuse(ev.ID, errs.ReasonDeadline)
		return
	}
	q.arrivals++
	it := &item{id: ev.ID, seq: q.arrivals, level: q.levelFor(ev.Priority), deadline: ev.Deadline, latestStart: latestStart}
	q.waiting[it.id] = it
	it.level.admitHeap.Add(it)
	it.level.shedHeap.Add(it)
	q.expiryHeap.Add(it)
}

func (q *Queue) cancel(id uint64) {
	if it, ok := q.waiting[id]; ok {
		q.remove(it)
		q.refuse(id, errs.ReasonCancelled)
	}
}

func (q *Queue) refuseExpired(now time.Duration) {
	for q.expiryHeap.Len() > 0 && q.expiryHeap.Peek().latestStart < now {
		it := q.expiryHeap.Peek()
		q.remove(it)
		q.refuse(it.id, errs.ReasonDeadline)
	}
}

func (q *Queue) refuse(id uint64, reason errs.Reason) {
	q.actions = append(q.actions, Refuse{ID: id, Reason: reason})
}

func (q *Queue) remove(it *item) {
	delete(q.waiting, it.id)
	it.level.admitHeap.Remove(it)
	it.level.shedHeap.Remove(it)
	q.expiryHeap.Remove(it)
}

func (q *Queue) isKnown(id uint64) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	_, ok := q.waiting[id]
	return ok
}
