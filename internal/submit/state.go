package submit

// state is the progress of the request of a ticket. It never decreases.
type state uint8

const (
	// reserved: the ticket was issued and its request not yet submitted.
	reserved state = iota
	// accepted: Submit returned Run, and Dispatch has not returned true.
	accepted
	// dispatched: a leaf may have received the request.
	dispatched
	// resolved: the outcome is recorded.
	resolved
)
