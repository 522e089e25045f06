package placement

import "time"

// Statement is what a leaf states of itself in a reply.
type Statement struct {
	// Limited is true if the leaf states how many requests it takes. Limit is that
	// number, in requests per second from all VMs together.
	Limited bool
	Limit   float64
	// Leaving is true if the leaf is about to stop. It holds until the process ends.
	Leaving bool
	// Rest is how long the leaf wants no requests from this VM; 0 if it does not say.
	Rest time.Duration
}
