package submit

// state is how far the request of a ticket has come. It only increases.
type state uint8

const (
	// reserved: the ticket is issued and no request has come.
	reserved state = iota
	// accepted: Run was given, Dispatch has not returned true.
	accepted
	// dispatched: a leaf may have the request.
	dispatched
	// settled: the outcome is recorded.
	settled
)
