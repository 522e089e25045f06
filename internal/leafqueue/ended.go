package leafqueue

// Ended says that a dispatched request has been answered although the leaf may
// still run it, so that it keeps its slot until Done. Its repeat is refused.
type Ended struct {
	ID uint64
}

func (Ended) event() {}
