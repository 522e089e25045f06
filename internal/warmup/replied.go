package warmup

import "time"

// Replied reports that a request got a reply, whatever its content.
type Replied struct {
	Latency time.Duration
	// Boot is the leaf's boot ID, or 0 if the reply does not state it.
	Boot uint64
}

func (Replied) event() {}
