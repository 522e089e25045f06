package leafqueue

// Config holds the fixed limits of a queue.
type Config struct {
	// MaxQueued is the number of requests that may wait. With 0 a request is
	// dispatched at once or refused.
	MaxQueued int
}
