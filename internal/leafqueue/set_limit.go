package leafqueue

import "time"

// SetLimit changes the limit of the leaf. A new queue has a limit of 0.
type SetLimit struct {
	// InFlight is the maximum number of dispatched requests whose slots are not
	// released. Lowering it interrupts no request.
	InFlight int
	// NotBefore is the earliest time at which the next request may be
	// dispatched.
	NotBefore time.Duration
	// TypicalRunTime is how long the warm leaf takes to run a request. It is 0
	// while the leaf is not warm; no repeat is dispatched then.
	TypicalRunTime time.Duration
}

func (SetLimit) event() {}
