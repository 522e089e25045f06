package leafqueue

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// longRun times the typical run is what few requests take. Without the wait a
// request that is late because of the queue would run twice and make the queue
// longer.
const longRun = 2

// hold keeps a repeat until the request that it repeats has been running for
// long.
func (q *Queue) hold(it *item, original uint64) []Action {
	if q.repeats[original] != nil || !q.wanted(original) {
		return []Action{Refuse{ID: it.id, Reason: errs.ReasonCancelled}}
	}
	q.repeats[original] = it
	return nil
}

// wanted reports whether a request is queued, or runs and somebody waits for it.
func (q *Queue) wanted(id uint64) bool {
	state, runs := q.running[id]
	return q.queued[id] != nil || runs && !state.unwanted
}

// dropRepeat refuses the repeat of a request that has ended or was cancelled.
func (q *Queue) dropRepeat(original uint64, reason errs.Reason, out []Action) []Action {
	it := q.repeats[original]
	if it == nil {
		return out
	}
	delete(q.repeats, original)
	return append(out, Refuse{ID: it.id, Reason: reason})
}

// dropRepeats refuses all repeats.
func (q *Queue) dropRepeats(reason errs.Reason, out []Action) []Action {
	for _, original := range slices.Sorted(maps.Keys(q.repeats)) {
		out = q.dropRepeat(original, reason, out)
	}
	return out
}

// repeatedBy returns the request that a held one repeats.
func (q *Queue) repeatedBy(id uint64) (original uint64, ok bool) {
	for original, it := range q.repeats {
		if it.id == id {
			return original, true
		}
	}
	return 0, false
}

// dueRepeat returns the best repeat that may run now with the request that it
// repeats, or nil.
func (q *Queue) dueRepeat(now time.Duration) (original uint64, best *item) {
	if len(q.repeats) == 0 {
		return 0, nil
	}
	for id := range q.running {
		it := q.repeats[id]
		if it == nil || it.startBy <= now {
			continue
		}
		if at, ok := q.repeatAt(id); !ok || at > now {
			continue
		}
		if best == nil || before(it, best) {
			original, best = id, it
		}
	}
	return original, best
}

// repeatAt returns when a running request has been running for long.
func (q *Queue) repeatAt(id uint64) (time.Duration, bool) {
	return q.running[id].since + longRun*q.limit.TypicalRunTime, q.limit.TypicalRunTime > 0
}

// nextRepeat returns when the next repeat may run.
func (q *Queue) nextRepeat() (wake time.Duration, ok bool) {
	for id := range q.running {
		it := q.repeats[id]
		if it == nil {
			continue
		}
		at, warm := q.repeatAt(id)
		if warm && at < it.startBy && (!ok || at < wake) {
			wake, ok = at, true
		}
	}
	return wake, ok
}
