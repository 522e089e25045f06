package leafqueue

// Event is an input of Queue.Step.
type Event interface{ event() }

// Tick lets the queue act on the passage of time. The worker passes it at the
// time that NextWake returns.
type Tick struct{}

func (Tick) event() {}
