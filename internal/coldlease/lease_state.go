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
	// acked holds, for each peer slot, when the latest request that the peer
	// acknowledged was sent. It is forever for a peer that is no longer listed
	// and cannot have requests running in the leaf.
	acked []time.Duration
	// minNonce is the lowest request nonce whose acknowledgements are valid.
	minNonce uint64
	// requestedAt is when the lease was last requested, or never if the
	// acknowledgements have been invalidated since.
	requestedAt   time.Duration
	nextRequestAt time.Duration
}

func (l *leaseState) ackedAt(slot int) time.Duration {
	if slot >= len(l.acked) {
		return never
	}
	return l.acked[slot]
}

func (l *leaseState) setAcked(slot int, at time.Duration) {
	for len(l.acked) <= slot {
		l.acked = append(l.acked, never)
	}
	l.acked[slot] = at
}

// invalidateAcks discards all acknowledgements received so far and those for
// requests before nextNonce that are still outstanding.
func (l *leaseState) invalidateAcks(nextNonce uint64) {
	l.acked = l.acked[:0]
	l.minNonce = nextNonce
	l.requestedAt = never
}
