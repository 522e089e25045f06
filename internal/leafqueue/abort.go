package leafqueue

// Abort asks the worker to cancel a request that runs in the leaf.
type Abort struct {
	ID uint64
}

func (Abort) action() {}
