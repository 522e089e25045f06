package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leaseState is a leaseState that this relay wants.
type leaseState struct {
	id topology.LeafID
	// runLimit is the largest one since the leaf was wanted.
	runLimit time.Duration
	// acked holds, per peer slot, when the latest request that the peer
	// acknowledged was sent. A dropped peer that cannot have requests in the
	// leaf has forever.
	acked []time.Duration
	// minNonce is the lowest nonce whose acknowledgements count.
	minNonce      uint64
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

// invalidateAcks drops all acknowledgements, also those that are still to come.
func (l *leaseState) invalidateAcks(nextNonce uint64) {
	l.acked = l.acked[:0]
	l.minNonce = nextNonce
	l.requestedAt = never
}
