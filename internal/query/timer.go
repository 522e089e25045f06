package query

// Timer is the expiry of the time that the last WakeAt named. Expiry that is
// early or repeated does no harm.
type Timer struct{}

func (Timer) isEvent() {}
