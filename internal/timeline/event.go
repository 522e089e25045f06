package timeline

// Event is one entry of the event log.
type Event struct {
	Stamp Stamp
	Kind  Kind
	// RequestID is the same for all events of one request. It is empty for events
	// that belong to no request.
	RequestID string
	// Subject is the leaf, zone, VM or section that the event is about.
	Subject string
	Detail  string
}
