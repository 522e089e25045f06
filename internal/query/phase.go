package query

// phase is the progress of a query.
type phase uint8

const (
	phaseNew phase = iota
	// phaseCanary waits for a canary to reply; nothing else has been sent.
	phaseCanary
	phaseFanOut
	phaseFinished
)
