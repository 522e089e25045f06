package leafqueue

// Open ends the effect of Close.
type Open struct{}

func (Open) event() {}
