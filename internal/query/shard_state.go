package query

import (
	"math"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// maxOpenAttempts is the limit of open attempts per shard: one and its hedge.
const maxOpenAttempts = 2

// shardState is the progress of one shard under the pinned snapshot.
type shardState struct {
	status shardStatus
	// reason is why the last failed attempt brought no reply to merge.
	reason errs.Reason
	// tried has a bit for each candidate; it is set if a request was sent to it.
	tried uint64
	sends int
	// open holds the numbers of the open attempts; 0 marks an unused element.
	open [maxOpenAttempts]uint64
	// resend is the kind of the request that follows the failed canary, or the attempt of
	// a held shard.
	resend Kind
	// hedgeAt is when the open attempt may be hedged.
	hedgeAt time.Duration
}

func (s *shardState) idle() bool { return s.open == [maxOpenAttempts]uint64{} }

// replaceOpen replaces an attempt in the set of open ones by another; 0 stands for
// an unused element.
func (s *shardState) replaceOpen(old, id uint64) {
	for i, current := range s.open {
		if current == old {
			s.open[i] = id
			return
		}
	}
}

// recordFailureReason records why an attempt failed. A crash is not overwritten,
// since it explains why the shard was not tried again. The cancellation of a hedge
// to the same leaf, whose original attempt has completed, overwrites no reason.
func (s *shardState) recordFailureReason(reason errs.Reason) {
	if s.reason == errs.ReasonCrashed || s.reason != "" && reason == errs.ReasonCancelled {
		return
	}
	s.reason = reason
}

// sameLeafHedgeFactor multiplies the delay of a hedge to the same leaf. While a
// shard has one leaf, far more than one request in twenty waits longer than the
// hedge delay in that leaf's queue. Hedging all of them would use up the budget and
// leave none for the few real stragglers.
const sameLeafHedgeFactor = 2

// hedgeDelay returns the time from a send to a candidate until its hedge.
func (s *shardState) hedgeDelay(candidates []Candidate, candidate int) time.Duration {
	after := candidates[candidate].HedgeAfter
	if s.nextCandidate(candidates, true) < 0 {
		return sameLeafHedgeFactor * after
	}
	return after
}

// nextCandidate returns the first candidate that has not been tried, or -1. With
// warmOnly it skips cold ones.
func (s *shardState) nextCandidate(candidates []Candidate, warmOnly bool) int {
	for i := range min(len(candidates), maxCandidates) {
		if s.tried&(1<<i) == 0 && (candidates[i].Warm || !warmOnly) {
			return i
		}
	}
	return -1
}
