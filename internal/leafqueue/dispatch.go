package leafqueue

// Dispatch asks the worker to send a request to the leaf.
type Dispatch struct {
	ID uint64
}

func (Dispatch) action() {}
