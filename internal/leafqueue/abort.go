package leafqueue

// Abort tells the shell to cancel a request that runs in the leaf.
type Abort struct {
	ID uint64
}

func (Abort) action() {}
