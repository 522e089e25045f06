package leafqueue

// Cancel withdraws a request. A queued request is refused. A running request is
// aborted and keeps its slot until ReleaseSlot; its repeat is refused.
type Cancel struct {
	ID uint64
}

func (Cancel) event() {}
