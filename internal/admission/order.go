package admission

import "github.com/medlarswitch/medlarswitch/internal/errs"

const (
	// lowerPriorityInterval is 16 so that lower priorities take at most 1/16 of
	// the admissions from the highest one.
	lowerPriorityInterval = 16

	// reservedDivisor reserves 1/16 of the places in the queue for each
	// priority, the same share as that of the admissions.
	reservedDivisor = 16
)

// admit admits waiting queries until the capacity is used up.
func (q *Queue) admit() {
	for len(q.running) < q.config.MaxRunning && len(q.waiting) > 0 {
		it := q.nextLevel().admitHeap.Peek()
		q.remove(it)
		q.admissions++
		it.level.lastAdmitted = q.admissions
		q.running[it.id] = struct{}{}
		q.actions = append(q.actions, Admit{ID: it.id})
	}
}

// nextLevel returns the level to admit from next. At least one query must wait.
func (q *Queue) nextLevel() *priorityLevel {
	highest, lower := q.waitingLevels()
	if lower == nil {
		return highest
	}
	q.sinceLowerAdmission++
	if q.sinceLowerAdmission < lowerPriorityInterval {
		return highest
	}
	q.sinceLowerAdmission = 0
	return lower
}

// waitingLevels returns the highest priority with waiting queries and, among
// the lower ones with waiting queries, the one whose last admission is the
// longest ago, or nil.
func (q *Queue) waitingLevels() (highest, lower *priorityLevel) {
	for _, l := range q.levels {
		switch {
		case l.len() == 0:
		case highest == nil:
			highest = l
		case lower == nil || l.lastAdmitted < lower.lastAdmitted:
			lower = l
		}
	}
	return highest, lower
}

// shed refuses queries until at most MaxQueued wait.
func (q *Queue) shed() {
	for len(q.waiting) > max(q.config.MaxQueued, 0) {
		it := q.shedLevel().shedHeap.Peek()
		q.remove(it)
		q.refuse(it.id, errs.ReasonOverloaded)
	}
}

// shedLevel returns the lowest priority that occupies more than its reserved
// places, or the lowest with waiting queries if there is none.
func (q *Queue) shedLevel() *priorityLevel {
	reserved := max(q.config.MaxQueued/reservedDivisor, 1)
	var lowest *priorityLevel
	for i := len(q.levels) - 1; i >= 0; i-- {
		l := q.levels[i]
		if l.len() > reserved {
			return l
		}
		if lowest == nil && l.len() > 0 {
			lowest = l
		}
	}
	return lowest
}
