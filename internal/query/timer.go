package query

// Timer reports that the time of the last WakeAt has been reached. Early and
// repeated Timer events are harmless.
type Timer struct{}

func (Timer) isEvent() {}
