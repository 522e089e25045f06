package leafqueue

// Cancel withdraws a request. A queued one is refused; a running one is
// aborted and keeps its slot until ReleaseSlot. Its repeat is refused.
type Cancel struct {
	ID uint64
}

func (Cancel) event() {}
