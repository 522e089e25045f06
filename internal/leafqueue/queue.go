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
	// repeats holds the request that waits to repeat another, by the other's
	// ID.
	repeats map[uint64]*item
	limit   SetLimit
	// closed is empty while the queue is open.
	closed errs.Reason
}

// New returns an open queue with a limit of 0.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg, queued: map[uint64]*item{}, running: map[uint64]runState{},
		repeats: map[uint64]*item{}, orders: newHeaps(),
	}
}

// Step applies an event and returns what the shell has to do, in order.
func (q *Queue) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Add:
		out = q.add(ev)
	case ReleaseSlot:
		delete(q.running, ev.ID)
		out = q.dropRepeat(ev.ID, errs.ReasonCancelled, nil)
	case MarkAnswered:
		out = q.unwanted(ev.ID, nil)
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
func (q *Queue) NextWake(now time.Duration) (wake time.Duration, ok bool) {
	if len(q.queued) > 0 {
		wake, ok = q.orders[byExpiry].Peek().startBy, true
	}
	at, some := q.nextRepeat()
	if len(q.queued) > 0 {
		at, some = q.limit.NotBefore, true
	}
	at = max(at, q.limit.NotBefore)
	if some && at > now && len(q.running) < q.limit.InFlight && (!ok || at < wake) {
		wake, ok = at, true
	}
	return wake, ok
}

// Queued returns the number of requests that wait.
func (q *Queue) Queued() int { return len(q.queued) + len(q.repeats) }

// Running returns the number of requests that are dispatched and not done.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) add(ev Add) []Action {
	if q.has(ev.ID) {
		return nil
	}
	if q.closed != "" {
		return []Action{Refuse{ID: ev.ID, Reason: q.closed}}
	}
	q.seq++
	it := &item{id: ev.ID, seq: q.seq, priority: ev.Priority, startBy: ev.StartBy}
	if ev.RepeatOf != 0 {
		return q.hold(it, ev.RepeatOf)
	}
	q.queued[ev.ID] = it
	for _, h := range q.orders {
		h.Add(it)
	}
	return nil
}

func (q *Queue) has(id uint64) bool {
	_, runs := q.running[id]
	_, held := q.repeatedBy(id)
	return runs || held || q.queued[id] != nil
}

func (q *Queue) cancel(id uint64) []Action {
	if it := q.queued[id]; it != nil {
		return q.refuse(it, errs.ReasonCancelled, nil)
	}
	if original, ok := q.repeatedBy(id); ok {
		return q.dropRepeat(original, errs.ReasonCancelled, nil)
	}
	if !q.wanted(id) {
		return nil
	}
	return q.unwanted(id, []Action{Abort{ID: id}})
}

// unwanted marks a running request that nobody waits for any more.
func (q *Queue) unwanted(id uint64, out []Action) []Action {
	if state, ok := q.running[id]; ok {
		state.unwanted = true
		q.running[id] = state
	}
	return q.dropRepeat(id, errs.ReasonCancelled, out)
}

func (q *Queue) refuseAll(reason errs.Reason) []Action {
	var out []Action
	for len(q.queued) > 0 {
		out = q.refuse(q.orders[byBest].Peek(), reason, out)
	}
	return q.dropRepeats(reason, out)
}

// expire refuses the items whose start-by is reached.
func (q *Queue) expire(now time.Duration, out []Action) []Action {
	for len(q.queued) > 0 && q.orders[byExpiry].Peek().startBy <= now {
		out = q.refuse(q.orders[byExpiry].Peek(), errs.ReasonStartBy, out)
	}
	return out
}

func (q *Queue) dispatch(now time.Duration, out []Action) []Action {
	if now < q.limit.NotBefore {
		return out
	}
	for len(q.running) < q.limit.InFlight {
		it := q.take(now)
		if it == nil {
			return out
		}
		q.running[it.id] = runState{since: now}
		out = append(out, Dispatch{ID: it.id})
	}
	return out
}

// take removes and returns the request that goes next, or nil.
func (q *Queue) take(now time.Duration) *item {
	original, repeat := q.dueRepeat(now)
	if len(q.queued) == 0 && repeat == nil {
		return nil
	}
	if len(q.queued) > 0 {
		it := q.orders[byBest].Peek()
		if repeat == nil || before(it, repeat) {
			q.remove(it)
			return it
		}
	}
	delete(q.repeats, original)
	return repeat
}

// trim refuses the worst items of a queue that is too long. It runs after
// dispatch, so that an item which can start at once is never refused.
func (q *Queue) trim(out []Action) []Action {
	for len(q.queued) > max(q.cfg.MaxQueued, 0) {
		out = q.refuse(q.orders[byWorst].Peek(), errs.ReasonOverloaded, out)
	}
	return out
}

// refuse ends a queued request and its repeat.
func (q *Queue) refuse(it *item, reason errs.Reason, out []Action) []Action {
	q.remove(it)
	out = append(out, Refuse{ID: it.id, Reason: reason})
	return q.dropRepeat(it.id, reason, out)
}

func (q *Queue) remove(it *item) {
	delete(q.queued, it.id)
	for _, h := range q.orders {
		h.Remove(it)
	}
}
