package leafqueue

// Dispatch tells the shell to send a request to the leaf.
type Dispatch struct {
	ID uint64
}

func (Dispatch) action() {}
