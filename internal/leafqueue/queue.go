package leafqueue

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/indexheap"
)

// Queue holds the requests for one leaf. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	seq     uint64
	queued  map[uint64]*item
	heaps   [heapCount]*indexheap.Heap[*item]
	running map[uint64]runningRequest
	// repeats holds the repeats that are not dispatched yet, by the ID of the
	// request that they repeat.
	repeats map[uint64]*item
	limit   SetLimit
	// closeReason is empty while the queue is open.
	closeReason errs.Reason
}

// New returns an open queue with a limit of 0.
func New(cfg Config) *Queue {
	return &Queue{
		cfg: cfg, queued: map[uint64]*item{}, running: map[uint64]runningRequest{},
		repeats: map[uint64]*item{}, heaps: newHeaps(),
	}
}

// Step applies an event and returns the actions that the worker must perform,
// in order.
func (q *Queue) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Add:
		out = q.add(ev)
	case ReleaseSlot:
		delete(q.running, ev.ID)
		out = q.dropRepeat(ev.ID, errs.ReasonCancelled, nil)
	case MarkAnswered:
		out = q.markUnwanted(ev.ID, nil)
	case Cancel:
		out = q.cancel(ev.ID)
	case SetLimit:
		q.limit = ev
	case Close:
		q.closeReason = ev.Reason
		out = q.refuseAll(ev.Reason)
	case Open:
		q.closeReason = ""
	}
	out = q.refuseExpired(now, out)
	out = q.dispatch(now, out)
	return q.refuseExcess(out)
}

// NextWake returns the next time at which Step has an action to return without
// another event.
func (q *Queue) NextWake(now time.Duration) (wake time.Duration, ok bool) {
	if len(q.queued) > 0 {
		wake, ok = q.heaps[byExpiry].Peek().startBy, true
	}
	dispatchAt, dispatchable := q.nextRepeatAt()
	if len(q.queued) > 0 {
		dispatchAt, dispatchable = q.limit.NotBefore, true
	}
	dispatchAt = max(dispatchAt, q.limit.NotBefore)
	if dispatchable && dispatchAt > now && len(q.running) < q.limit.InFlight && (!ok || dispatchAt < wake) {
		wake, ok = dispatchAt, true
	}
	return wake, ok
}

// Queued returns the number of requests that wait, repeats included.
func (q *Queue) Queued() int { return len(q.queued) + len(q.repeats) }

// Running returns the number of dispatched requests that still occupy a slot.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) add(ev Add) []Action {
	if q.has(ev.ID) {
		return nil
	}
	if q.closeReason != "" {
		return []Action{Refuse{ID: ev.ID, Reason: q.closeReason}}
	}
	q.seq++
	it := &item{id: ev.ID, seq: q.seq, priority: ev.Priority, startBy: ev.StartBy}
	if ev.RepeatOf != 0 {
		return q.holdRepeat(it, ev.RepeatOf)
	}
	q.queued[ev.ID] = it
	for _, h := range q.heaps {
		h.Add(it)
	}
	return nil
}

func (q *Queue) has(id uint64) bool {
	_, isRunning := q.running[id]
	_, held := q.originalOf(id)
	return isRunning || held || q.queued[id] != nil
}

func (q *Queue) cancel(id uint64) []Action {
	if it := q.queued[id]; it != nil {
		return q.refuse(it, errs.ReasonCancelled, nil)
	}
	if original, ok := q.originalOf(id); ok {
		return q.dropRepeat(original, errs.ReasonCancelled, nil)
	}
	if !q.isWanted(id) {
		return nil
	}
	return q.markUnwanted(id, []Action{Abort{ID: id}})
}

// markUnwanted records that nobody waits for a running request any more, and
// refuses its repeat.
func (q *Queue) markUnwanted(id uint64, out []Action) []Action {
	if req, ok := q.running[id]; ok {
		req.unwanted = true
		q.running[id] = req
	}
	return q.dropRepeat(id, errs.ReasonCancelled, out)
}

func (q *Queue) refuseAll(reason errs.Reason) []Action {
	var out []Action
	for len(q.queued) > 0 {
		out = q.refuse(q.heaps[byDispatchOrder].Peek(), reason, out)
	}
	return q.dropRepeats(reason, out)
}

// refuseExpired refuses the queued requests whose start-by has passed.
func (q *Queue) refuseExpired(now time.Duration, out []Action) []Action {
	for len(q.queued) > 0 && q.heaps[byExpiry].Peek().startBy <= now {
		out = q.refuse(q.heaps[byExpiry].Peek(), errs.ReasonStartBy, out)
	}
	return out
}

func (q *Queue) dispatch(now time.Duration, out []Action) []Action {
	if now < q.limit.NotBefore {
		return out
	}
	for len(q.running) < q.limit.InFlight {
		it := q.takeNext(now)
		if it == nil {
			return out
		}
		q.running[it.id] = runningRequest{dispatchedAt: now}
		out = append(out, Dispatch{ID: it.id})
	}
	return out
}

// takeNext removes and returns the request to dispatch next, or nil.
func (q *Queue) takeNext(now time.Duration) *item {
	original, repeat := q.nextDueRepeat(now)
	if len(q.queued) == 0 && repeat == nil {
		return nil
	}
	if len(q.queued) > 0 {
		it := q.heaps[byDispatchOrder].Peek()
		if repeat == nil || dispatchedBefore(it, repeat) {
			q.remove(it)
			return it
		}
	}
	delete(q.repeats, original)
	return repeat
}

// refuseExcess refuses the lowest-ranked requests of a queue that exceeds
// MaxQueued. It runs after dispatch, so that a request that can start at once
// is never refused.
func (q *Queue) refuseExcess(out []Action) []Action {
	for len(q.queued) > max(q.cfg.MaxQueued, 0) {
		out = q.refuse(q.heaps[byReverseDispatchOrder].Peek(), errs.ReasonOverloaded, out)
	}
	return out
}

// refuse refuses a queued request and its repeat.
func (q *Queue) refuse(it *item, reason errs.Reason, out []Action) []Action {
	q.remove(it)
	out = append(out, Refuse{ID: it.id, Reason: reason})
	return q.dropRepeat(it.id, reason, out)
}

func (q *Queue) remove(it *item) {
	delete(q.queued, it.id)
	for _, h := range q.heaps {
		h.Remove(it)
	}
}
