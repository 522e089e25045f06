package coldlease

import "time"

// round records a request that was sent to all peers.
type round struct {
	nonce  uint64
	sentAt time.Duration
}
