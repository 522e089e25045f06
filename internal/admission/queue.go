package admission

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/indexheap"
)

// Config bounds a Queue.
type Config struct {
	// MaxRunning is how many queries run at a time.
	MaxRunning int
	// MaxQueued is how many queries wait at most.
	MaxQueued int
}

// Queue decides on the queries of one entry process. It is not safe for
// concurrent use.
type Queue struct {
	config  Config
	running map[uint64]struct{}
	waiting map[uint64]*item
	// levels is sorted by priority number, lowest first.
	levels []*level
	expiry *indexheap.Heap[*item]

	arrivals   uint64
	admissions uint64
	// passed counts admissions that went past waiting lower priorities since
	// the last one that did not.
	passed  int
	actions []Action
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{
		config:  config,
		running: make(map[uint64]struct{}),
		waiting: make(map[uint64]*item),
		expiry:  newHeap(heapExpiry),
	}
}

// Step takes in an event at a time and returns the decisions that follow.
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
// unless another event comes first.
func (q *Queue) NextWake(now time.Duration) (time.Duration, bool) {
	if q.expiry.Len() == 0 {
		return 0, false
	}
	return max(now, q.expiry.Peek().latestStart+1), true
}

// Running returns how many admitted queries have not ended.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many queries wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

func (q *Queue) arrive(now time.Duration, ev Arrive) {
	if q.isOpen(ev.ID) {
		return
	}
	latestStart := ev.Deadline - max(ev.ExpectedRunTime, 0)
	if latestStart < now {
		q.refuse(ev.ID, errs.ReasonDeadline)
		return
	}
	q.arrivals++
	it := &item{id: ev.ID, seq: q.arrivals, level: q.level(ev.Priority), deadline: ev.Deadline, latestStart: latestStart}
	q.waiting[it.id] = it
	it.level.first.Add(it)
	it.level.worst.Add(it)
	q.expiry.Add(it)
}

func (q *Queue) cancel(id uint64) {
	if it, ok := q.waiting[id]; ok {
		q.remove(it)
		q.refuse(id, errs.ReasonCancelled)
	}
}

func (q *Queue) refuseExpired(now time.Duration) {
	for q.expiry.Len() > 0 && q.expiry.Peek().latestStart < now {
		it := q.expiry.Peek()
		q.remove(it)
		q.refuse(it.id, errs.ReasonDeadline)
	}
}

func (q *Queue) refuse(id uint64, reason errs.Reason) {
	q.actions = append(q.actions, Refuse{ID: id, Reason: reason})
}

func (q *Queue) remove(it *item) {
	delete(q.waiting, it.id)
	it.level.first.Remove(it)
	it.level.worst.Remove(it)
	q.expiry.Remove(it)
}

func (q *Queue) isOpen(id uint64) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	_, ok := q.waiting[id]
	return ok
}
