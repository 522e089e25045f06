package leafqueue

// MarkAnswered says that a dispatched request has been answered although the leaf may
// still run it, so that it keeps its slot until ReleaseSlot. Its repeat is refused.
type MarkAnswered struct {
	ID uint64
}

func (MarkAnswered) event() {}
