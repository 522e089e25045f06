package coldlease

import "time"

// round is one request that went to all peers.
type round struct {
	nonce  uint64
	sentAt time.Duration
}
