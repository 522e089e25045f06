package coldlease

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick lets time pass; the shell sends it at the time that NextWake names.
type Tick struct{}

func (Tick) event() {}
