package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leaf is a leaf that this relay wants.
type leaf struct {
	id topology.LeafID
	// runLimit is the largest one since the leaf was wanted.
	runLimit time.Duration
	// acked holds, per peer slot, when the latest request that the peer
	// acknowledged was sent. A dropped peer that cannot have requests in the
	// leaf has forever.
	acked []time.Duration
	// floor is the lowest nonce whose acknowledgements count.
	floor   uint64
	askedAt time.Duration
	nextAsk time.Duration
}

func (l *leaf) ackedAt(slot int) time.Duration {
	if slot >= len(l.acked) {
		return never
	}
	return l.acked[slot]
}

func (l *leaf) setAcked(slot int, at time.Duration) {
	for len(l.acked) <= slot {
		l.acked = append(l.acked, never)
	}
	l.acked[slot] = at
}

// void drops all acknowledgements, also those that are still to come.
func (l *leaf) void(nextNonce uint64) {
	l.acked = l.acked[:0]
	l.floor = nextNonce
	l.askedAt = never
}
