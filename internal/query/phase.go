package query

// phase is the progress of a query.
type phase uint8

const (
	phaseNew phase = iota
	// phaseCanary waits for the canary; no other request has been sent.
	phaseCanary
	phaseFanOut
	phaseFinished
)
