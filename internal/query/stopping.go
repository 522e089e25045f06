package query

// Stopping ends the query with the replies merged so far, because its VM stops.
type Stopping struct{}

func (Stopping) isEvent() {}
