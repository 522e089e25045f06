package leafqueue

// Config holds the fixed limits of a queue.
type Config struct {
	// MaxQueued is the maximum number of queued requests. With 0, a request is
	// either dispatched at once or refused.
	MaxQueued int
}
