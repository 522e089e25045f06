package measure

import "time"

// leafRequest is a request of an entry to a leaf, as its relay keeps it.
type leafRequest struct {
	id       uint64
	priority int
	startBy  time.Duration
	deadline time.Duration
	run      *run
	sent     time.Duration
	ended    bool
	// answer brings the reply back to the entry.
	answer func(reply)
}

// reply is what a relay says of a request.
type reply struct {
	ok     bool
	notRun bool
	crash  bool
	reason string
}
