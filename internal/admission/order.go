package admission

import "github.com/medlarswitch/medlarswitch/internal/errs"

const (
	// lowerTurn is 16 so that lower priorities cost the highest one at most
	// 1/16 of its admissions.
	lowerTurn = 16

	// keptShare gives each priority 1/16 of the queue's places, the same share
	// as its admissions.
	keptShare = 16
)

// admit fills the free capacity from the queue.
func (q *Queue) admit() {
	for len(q.running) < q.config.MaxRunning && len(q.waiting) > 0 {
		it := q.next().first.Peek()
		q.remove(it)
		q.admissions++
		it.level.lastAdmitted = q.admissions
		q.running[it.id] = struct{}{}
		q.actions = append(q.actions, Admit{ID: it.id})
	}
}

// next returns the level whose turn it is. Some item must wait.
func (q *Queue) next() *level {
	best, lower := q.contenders()
	if lower == nil {
		return best
	}
	q.passed++
	if q.passed < lowerTurn {
		return best
	}
	q.passed = 0
	return lower
}

// contenders returns the highest priority that waits and, of the lower ones
// that wait, the one that was admitted longest ago, if any.
func (q *Queue) contenders() (best, lower *level) {
	for _, l := range q.levels {
		switch {
		case l.len() == 0:
		case best == nil:
			best = l
		case lower == nil || l.lastAdmitted < lower.lastAdmitted:
			lower = l
		}
	}
	return best, lower
}

// shed refuses the worst items until the queue is within its bound.
func (q *Queue) shed() {
	for len(q.waiting) > max(q.config.MaxQueued, 0) {
		it := q.victim().worst.Peek()
		q.remove(it)
		q.refuse(it.id, errs.ReasonOverloaded)
	}
}

// victim returns the lowest priority that holds more places than it keeps, or
// the lowest that waits when none does.
func (q *Queue) victim() *level {
	kept := max(q.config.MaxQueued/keptShare, 1)
	var lowest *level
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := q.levels[i]
		if l.len() > kept {
			return l
		}
		if lowest == nil && l.len() > 0 {
			lowest = l
		}
	}
	return lowest
}
