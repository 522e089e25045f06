package measure

import "time"

// leafRequest is a request of an entry to a leaf, as its relay keeps it.
type leafRequest struct {
	id       uint64
	priority int
	startBy  time.Duration
	deadline time.Duration
	run      *leafRun
	sentAt   time.Duration
	ended    bool
	// repeats is the request that this one repeats in the same leaf, or nil.
	repeatOf *leafRequest
	// answer brings the reply back to the entry.
	deliverReply func(reply)
}

// repeatsID is the relay's ID of the request that this one repeats, or 0.
func (r *leafRequest) repeatOfID() uint64 {
	if r.repeatOf == nil {
		return 0
	}
	return r.repeatOf.id
}

// reply is what a relay says of a request.
type reply struct {
	ok     bool
	notRun bool
	crash  bool
	reason string
}
