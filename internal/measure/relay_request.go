package measure

import "time"

// leafRequest is the record that a relay keeps of an entry's request to a leaf.
type leafRequest struct {
	id       uint64
	priority int
	startBy  time.Duration
	deadline time.Duration
	run      *leafRun
	sentAt   time.Duration
	ended    bool
	// repeatOf is the request that this one repeats in the same leaf, or nil.
	repeatOf *leafRequest
	// deliverReply sends the reply to the entry.
	deliverReply func(reply)
}

// repeatOfID returns the relay's ID of the request that this one repeats, or 0.
func (r *leafRequest) repeatOfID() uint64 {
	if r.repeatOf == nil {
		return 0
	}
	return r.repeatOf.id
}

// reply is a relay's reply to an entry's request.
type reply struct {
	ok     bool
	notRun bool
	crash  bool
	reason string
}
