package warmup

// Config holds the fixed limits of a leaf.
type Config struct {
	// Slots is the number of requests that the leaf runs concurrently when
	// warm.
	Slots int
}
