package coldlease

import (
	"math"
	"time"
)

const (
	// ClockMargin is the largest tolerated difference between two wall clocks.
	// A leaf may start a request that much later than its start-by time.
	ClockMargin = 500 * time.Millisecond
	// requestsPerTerm leaves time for two renewals before the usable part of a
	// lease, its term minus ClockMargin, expires.
	requestsPerTerm = 4
	// batchDelay lets leaves whose leases are acquired or released at about the
	// same time share one request per peer.
	batchDelay = 10 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered requests above which
	// a peer counts as unresponsive. It tolerates the loss of a few messages.
	maxUnanswered = 4
	// proposalInterval is the minimum time between two attempts to write an
	// eviction, since each attempt calls the store.
	proposalInterval = time.Second
	// pauseThreshold is the time between two steps above which the process is
	// assumed to have been paused. Acknowledgements may then be waiting in its
	// own queue.
	pauseThreshold = 1500 * time.Millisecond

	// never is earlier and forever is later than any time. Both leave room for
	// adding durations without overflow.
	never   = time.Duration(math.MinInt64 / 4)
	forever = time.Duration(math.MaxInt64 / 4)
)
