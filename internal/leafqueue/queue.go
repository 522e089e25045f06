package leafqueue

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/indexheap"
)

// Queue is the queue of one leaf. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	seq     uint64
	queued  map[uint64]*item
	orders  [heaps]*indexheap.Heap[*item]
	running map[uint64]runState
	limit   SetLimit
	// closed is empty while the queue is open.
	closed errs.Reason
}

// New returns an open queue with a limit of 0.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, queued: map[uint64]*item{}, running: map[uint64]runState{}, orders: newHeaps()}
}

// Step applies an event and returns what the shell has to do, in order.
func (q *Queue) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Add:
		out = q.add(ev)
	case Done:
		delete(q.running, ev.ID)
	case Cancel:
		out = q.cancel(ev.ID)
	case SetLimit:
		q.limit = ev
	case Close:
		q.closed = ev.Reason
		out = q.refuseAll(ev.Reason)
	case Open:
		q.closed = ""
	}
	out = q.expire(now, out)
	out = q.dispatch(now, out)
	return q.trim(out)
}

// NextWake returns when Step has something to do without another event.
func (q *Queue) NextWake(now time.Duration) (time.Duration, bool) {
	if len(q.queued) == 0 {
		return 0, false
	}
	wake := q.orders[byExpiry].Top().startBy
	if q.limit.NotBefore > now && len(q.running) < q.limit.InFlight {
		wake = min(wake, q.limit.NotBefore)
	}
	return wake, true
}

// Queued returns the number of requests that wait.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of requests that are dispatched and not done.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) add(ev Add) []Action {
	if _, ok := q.running[ev.ID]; ok || q.queued[ev.ID] != nil {
		return nil
	}
	if q.closed != "" {
		return []Action{Refuse{ID: ev.ID, Reason: q.closed}}
	}
	q.seq++
	it := &item{id: ev.ID, seq: q.seq, priority: ev.Priority, startBy: ev.StartBy}
	q.queued[ev.ID] = it
	for _, h := range q.orders {
		h.Add(it)
	}
	return nil
}

func (q *Queue) cancel(id uint64) []Action {
	if it := q.queued[id]; it != nil {
		return []Action{q.refuse(it, errs.ReasonCancelled)}
	}
	if state, ok := q.running[id]; ok && state == runNormal {
		q.running[id] = runAborted
		return []Action{Abort{ID: id}}
	}
	return nil
}

func (q *Queue) refuseAll(reason errs.Reason) []Action {
	var out []Action
	for len(q.queued) > 0 {
		out = append(out, q.refuse(q.orders[byBest].Top(), reason))
	}
	return out
}

// expire refuses the items whose start-by is reached.
func (q *Queue) expire(now time.Duration, out []Action) []Action {
	for len(q.queued) > 0 && q.orders[byExpiry].Top().startBy <= now {
		out = append(out, q.refuse(q.orders[byExpiry].Top(), errs.ReasonStartBy))
	}
	return out
}

func (q *Queue) dispatch(now time.Duration, out []Action) []Action {
	if now < q.limit.NotBefore {
		return out
	}
	for len(q.queued) > 0 && len(q.running) < q.limit.InFlight {
		it := q.orders[byBest].Top()
		q.remove(it)
		q.running[it.id] = runNormal
		out = append(out, Dispatch{ID: it.id})
	}
	return out
}

// trim refuses the worst items of a queue that is too long. It runs after
// dispatch, so that an item which can start at once is never refused.
func (q *Queue) trim(out []Action) []Action {
	for len(q.queued) > max(q.cfg.MaxQueued, 0) {
		out = append(out, q.refuse(q.orders[byWorst].Top(), errs.ReasonOverloaded))
	}
	return out
}

func (q *Queue) refuse(it *item, reason errs.Reason) Action {
	q.remove(it)
	return Refuse{ID: it.id, Reason: reason}
}

func (q *Queue) remove(it *item) {
	delete(q.queued, it.id)
	for _, h := range q.orders {
		h.Remove(it)
	}
}
