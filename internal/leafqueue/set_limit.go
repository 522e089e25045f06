package leafqueue

import "time"

// SetLimit changes what the leaf may get. A new queue has a limit of 0.
type SetLimit struct {
	// InFlight is the number of requests that may be dispatched and not done.
	// Lowering it interrupts nothing.
	InFlight int
	// NotBefore is when the next request may be dispatched.
	NotBefore time.Duration
	// TypicalRunTime is how long a run of the warm leaf takes. It is 0 while the leaf
	// is not warm; no repeat is dispatched then.
	TypicalRunTime time.Duration
}

func (SetLimit) event() {}
