package warmup

// Event is an input of Tracker.Step. Each Dispatched is followed by exactly one
// of Replied, Refused, Cancelled, TimedOut or ConnectionReset for the same request.
type Event interface{ event() }

// Dispatched says that a request was sent.
type Dispatched struct{}

// ConnectionReset says that a connection was reset while a request ran.
type ConnectionReset struct{}

// TimedOut says that a request had no reply by its deadline. It counts as a
// reply that is too slow.
type TimedOut struct{}

// ConnectFailed says that a connection attempt failed.
type ConnectFailed struct{}

// Refused says that the leaf refused to start a request.
type Refused struct {
	// Leaving is true when the leaf takes no new work any more.
	Leaving bool
}

func (Dispatched) event()      {}
func (ConnectionReset) event() {}
func (TimedOut) event()        {}
func (ConnectFailed) event()   {}
func (Refused) event()         {}
