package query

// attemptState tells whether events of an attempt still count.
type attemptState uint8

const (
	attemptOpen attemptState = iota
	// attemptEnded is an attempt that replied or failed.
	attemptEnded
	// attemptAborted is an attempt whose reply is no longer wanted. A
	// crash-like loss of it still stops the query.
	attemptAborted
)

// attempt is one request to a leaf.
type attempt struct {
	shard     int
	candidate int
	kind      Kind
	state     attemptState
}
