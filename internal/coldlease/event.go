package coldlease

// Event is an input of Machine.Step.
type Event interface{ event() }

// Tick makes Step perform what is due. The shell sends it at the time that
// NextWake returns.
type Tick struct{}

func (Tick) event() {}
