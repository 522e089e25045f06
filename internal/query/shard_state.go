package query

import (
	"math"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// maxOpen is the number of open attempts per shard: one and its hedge.
const maxOpen = 2

// shardState is the progress of one shard under the pinned snapshot.
type shardState struct {
	status shardStatus
	// reason is why the last attempt was lost.
	reason errs.Reason
	// tried has a bit per candidate that was sent to.
	tried uint64
	sends int
	// open holds the numbers of the open attempts; 0 is a free place.
	open [maxOpen]uint64
	// hedgeAt is when the open attempt is due for a hedge.
	hedgeAt time.Duration
}

func (s *shardState) idle() bool { return s.open == [maxOpen]uint64{} }

// replace puts an attempt in the place of another; 0 is a free place.
func (s *shardState) replace(old, id uint64) {
	for i, current := range s.open {
		if current == old {
			s.open[i] = id
			return
		}
	}
}

// note records why an attempt was lost. A crash is not overwritten, since it
// explains why the shard was not tried again, and nothing is by the refusal of
// a repeat whose first attempt has ended.
func (s *shardState) note(reason errs.Reason) {
	if s.reason == errs.ReasonCrashed || s.reason != "" && reason == errs.ReasonCancelled {
		return
	}
	s.reason = reason
}

// repeatFactor times the hedge delay is the wait before a second request to the
// same leaf. While a shard has one leaf, far more than one request in twenty
// waits longer than the hedge delay in its queue. Asking for all of them uses up
// the budget, and then the few that are straggling get no second request.
const repeatFactor = 2

// hedgeAfter returns how long to wait for a candidate before a hedge.
func (s *shardState) hedgeAfter(candidates []Candidate, candidate int) time.Duration {
	after := candidates[candidate].HedgeAfter
	if s.next(candidates, true) < 0 {
		return repeatFactor * after
	}
	return after
}

// next returns the first candidate that was not tried, or -1.
func (s *shardState) next(candidates []Candidate, warmOnly bool) int {
	for i := range min(len(candidates), maxCandidates) {
		if s.tried&(1<<i) == 0 && (candidates[i].Warm || !warmOnly) {
			return i
		}
	}
	return -1
}
