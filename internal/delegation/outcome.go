package delegation

// Outcome is the outcome of a query that was sent to an aggregator.
type Outcome uint8

// Outcomes of a query.
const (
	// Answered means that the aggregator replied, whatever the status of the reply.
	Answered Outcome = iota
	// Declined means that the aggregator did not accept the query.
	Declined
	// ConnectionLost means that the connection to the aggregator was lost.
	ConnectionLost
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
)
