package leafqueue

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// longRunFactor times the typical run time is a duration that few requests
// exceed. A repeat waits that long, since a request that is late because of the
// queue would otherwise run twice and make the queue longer.
const longRunFactor = 2

// holdRepeat keeps a repeat until the original request has been running for
// long. It refuses a second repeat, and a repeat of a request that nobody waits
// for.
func (q *Queue) holdRepeat(it *item, original uint64) []Action {
	if q.repeats[original] != nil || !q.isWanted(original) {
		return []Action{Refuse{ID: it.id, Reason: errs.ReasonCancelled}}
	}
	q.repeats[original] = it
	return nil
}

// isWanted reports whether a request is queued, or is running and neither
// cancelled nor answered.
func (q *Queue) isWanted(id uint64) bool {
	req, isRunning := q.running[id]
	return q.queued[id] != nil || isRunning && !req.unwanted
}

// dropRepeat refuses the repeat, if any, of a request that has completed or was
// cancelled or refused.
func (q *Queue) dropRepeat(original uint64, reason errs.Reason, out []Action) []Action {
	it := q.repeats[original]
	if it == nil {
		return out
	}
	delete(q.repeats, original)
	return append(out, Refuse{ID: it.id, Reason: reason})
}

// dropRepeats refuses all repeats that are not dispatched yet.
func (q *Queue) dropRepeats(reason errs.Reason, out []Action) []Action {
	for _, original := range slices.Sorted(maps.Keys(q.repeats)) {
		out = q.dropRepeat(original, reason, out)
	}
	return out
}

// originalOf returns the ID of the request that a waiting repeat repeats.
func (q *Queue) originalOf(id uint64) (original uint64, ok bool) {
	for original, it := range q.repeats {
		if it.id == id {
			return original, true
		}
	}
	return 0, false
}

// nextDueRepeat returns the first repeat in dispatch order whose original has
// been running for long, and the ID of that original, or nil.
func (q *Queue) nextDueRepeat(now time.Duration) (original uint64, best *item) {
	if len(q.repeats) == 0 {
		return 0, nil
	}
	for id := range q.running {
		it := q.repeats[id]
		if it == nil || it.startBy <= now {
			continue
		}
		if at, ok := q.repeatDueAt(id); !ok || at > now {
			continue
		}
		if best == nil || dispatchedBefore(it, best) {
			original, best = id, it
		}
	}
	return original, best
}

// repeatDueAt returns when the repeat of a running request may be dispatched,
// or false if the leaf has no typical run time.
func (q *Queue) repeatDueAt(id uint64) (time.Duration, bool) {
	return q.running[id].dispatchedAt + longRunFactor*q.limit.TypicalRunTime, q.limit.TypicalRunTime > 0
}

// nextRepeatAt returns when the next repeat may be dispatched.
func (q *Queue) nextRepeatAt() (wake time.Duration, ok bool) {
	for id := range q.running {
		it := q.repeats[id]
		if it == nil {
			continue
		}
		at, measured := q.repeatDueAt(id)
		if measured && at < it.startBy && (!ok || at < wake) {
			wake, ok = at, true
		}
	}
	return wake, ok
}
