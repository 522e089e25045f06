package warmup

// Transition is a change of state, recorded in the event log.
type Transition struct {
	From   State
	To     State
	Reason string
}
