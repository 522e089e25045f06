package leafqueue

// Open makes a closed queue accept requests again.
type Open struct{}

func (Open) event() {}
