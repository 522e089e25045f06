package warmup

import "time"

// Replied says that a request ended with a reply, whatever its content.
type Replied struct {
	Latency time.Duration
	// Boot is the leaf's boot ID, 0 if the reply does not state it.
	Boot uint64
}

func (Replied) event() {}
