package query

// attemptState determines whether events of an attempt are still handled.
type attemptState uint8

const (
	attemptOpen attemptState = iota
	// attemptCompleted is the state after a reply or a failure.
	attemptCompleted
	// attemptAborted is the state after an Abort. A crash-like loss of the attempt
	// still counts towards Params.MaxCrashes.
	attemptAborted
)

// attempt is one request to a leaf.
type attempt struct {
	shard     int
	candidate int
	kind      Kind
	state     attemptState
}
