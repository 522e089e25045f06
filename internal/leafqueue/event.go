package leafqueue

// Event is an input of Queue.Step.
type Event interface{ event() }

// Tick lets time pass; the shell sends it at the time that NextWake names.
type Tick struct{}

func (Tick) event() {}
