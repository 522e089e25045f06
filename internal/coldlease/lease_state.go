package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leaseState is the lease of a leaf that this relay holds or tries to acquire.
type leaseState struct {
	id topology.LeafID
	// runLimit is the largest run limit passed with Acquire since the last
	// Release.
	runLimit time.Duration
	// ackedSentTimes holds, for each peer slot, when the latest request that the
	// peer acknowledged was sent. The time is forever for a peer that is no
	// longer listed and cannot have requests running in the leaf.
	ackedSentTimes []time.Duration
	// minNonce is the lowest request nonce whose acknowledgements are valid.
	minNonce uint64
	// requestedAt is when the lease was last requested, or never if the
	// acknowledgements have been invalidated since.
	requestedAt   time.Duration
	nextRequestAt time.Duration
}

func (l *leaseState) ackedSentAt(slot int) time.Duration {
	if slot >= len(l.ackedSentTimes) {
		return never
	}
	return l.ackedSentTimes[slot]
}

func (l *leaseState) setAckedSentAt(slot int, sentAt time.Duration) {
	for len(l.ackedSentTimes) <= slot {
		l.ackedSentTimes = append(l.ackedSentTimes, never)
	}
	l.ackedSentTimes[slot] = sentAt
}

// invalidateAcks discards all acknowledgements received so far and those for
// requests before nextNonce that are still outstanding.
func (l *leaseState) invalidateAcks(nextNonce uint64) {
	l.ackedSentTimes = l.ackedSentTimes[:0]
	l.minNonce = nextNonce
	l.requestedAt = never
}
