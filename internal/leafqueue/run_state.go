package leafqueue

// runState tells whether a running request was aborted already.
type runState int

const (
	runNormal runState = iota
	runAborted
)
