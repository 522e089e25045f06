package leafqueue

// MarkAnswered records that a dispatched request was answered although the leaf
// may still run it. The request keeps its slot until ReleaseSlot, and its
// repeat is refused.
type MarkAnswered struct {
	ID uint64
}

func (MarkAnswered) event() {}
