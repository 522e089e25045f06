package query

// phase is how far a query has come.
type phase uint8

const (
	phaseNew phase = iota
	// phaseCanary waits for the canary; no other shard has been sent.
	phaseCanary
	phaseFanOut
	phaseFinished
)
