package warmup

// Event is an input of Tracker.Step. Each Dispatched is followed by exactly one
// of Replied, Refused, Cancelled, TimedOut or ConnectionReset for the same
// request.
type Event interface{ event() }

// Dispatched reports that a request was sent.
type Dispatched struct{}

// ConnectionReset reports that a connection was reset while a request ran.
type ConnectionReset struct{}

// TimedOut reports that a request got no reply by its deadline. It counts as a
// slow reply.
type TimedOut struct{}

// ConnectFailed reports that a connection attempt failed.
type ConnectFailed struct{}

// Refused reports that the leaf refused to start a request.
type Refused struct {
	// Leaving is true when the leaf no longer accepts new requests.
	Leaving bool
}

func (Dispatched) event()      {}
func (ConnectionReset) event() {}
func (TimedOut) event()        {}
func (ConnectFailed) event()   {}
func (Refused) event()         {}
