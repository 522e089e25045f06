package timeline

// Event is one entry of the event log.
type Event struct {
	Stamp Stamp
	Kind  Kind
	// RequestID links the events of one request; may be empty.
	RequestID string
	// Subject is the leaf, zone, VM or section that the event is about.
	Subject string
	Detail  string
}
