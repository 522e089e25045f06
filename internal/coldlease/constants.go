package coldlease

import (
	"math"
	"time"
)

const (
	// ClockMargin is the bound for the difference of two wall clocks. A leaf
	// may start a request that much later than the start-by says.
	ClockMargin = 500 * time.Millisecond
	// requestsPerTerm gives a lease two renewals before its usable part, the term
	// less ClockMargin, ends.
	requestsPerTerm = 4
	// batchDelay collects the leaves that become wanted together into one
	// request per peer.
	batchDelay = 10 * time.Millisecond
	// maxUnanswered is the number of unanswered requests before a peer counts
	// as silent, so that one lost message is not enough.
	maxUnanswered = 4
	// proposalInterval spaces attempts to write an eviction, since each counts
	// as calls to the store.
	proposalInterval = time.Second
	// pauseThreshold is the time between two steps from which the process counts as
	// paused; answers may then wait in its own queue.
	pauseThreshold = 1500 * time.Millisecond

	never   = time.Duration(math.MinInt64 / 4)
	forever = time.Duration(math.MaxInt64 / 4)
)
