package degraded

import (
	"cmp"
	"slices"
	"time"
)

// minDuration is how long a state must last before it is reported. A leaf that is
// replaced, or a seed that restarts, is back within it.
const minDuration = 3 * time.Second

// State is a state that limits the service.
type State struct {
	// Kind is what is limited, such as a shard without a leaf.
	Kind string
	// Subject is which one, such as the shard's name; it may be empty.
	Subject string
}

// Change reports that a state has lasted for some time, or that it ended.
type Change struct {
	State
	// For is how long the state has lasted so far, or lasted in all.
	For   time.Duration
	Ended bool
}

// Tracker holds the states of one process. It is not safe for concurrent use.
type Tracker struct{ active map[State]*activeState }

type activeState struct {
	since    time.Duration
	reported bool
}

// New returns a tracker without states.
func New() *Tracker { return &Tracker{active: make(map[State]*activeState)} }

// Update replaces the states by the current ones and returns the changes to report,
// sorted by state.
func (t *Tracker) Update(now time.Duration, current []State) []Change {
	var changes []Change
	present := make(map[State]bool, len(current))
	for _, state := range current {
		present[state] = true
		active := t.active[state]
		if active == nil {
			active = &activeState{since: now}
			t.active[state] = active
		}
		if !active.reported && now-active.since >= minDuration {
			active.reported = true
			changes = append(changes, Change{State: state, For: now - active.since})
		}
	}
	for state, active := range t.active {
		if present[state] {
			continue
		}
		delete(t.active, state)
		if active.reported {
			changes = append(changes, Change{State: state, For: now - active.since, Ended: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return changes
}

// Reported returns how many reported states last, and for how long the oldest one has.
func (t *Tracker) Reported(now time.Duration) (count int, oldest time.Duration) {
	for _, active := range t.active {
		if active.reported {
			count++
			oldest = max(oldest, now-active.since)
		}
	}
	return count, oldest
}
