package delegation

// Outcome is how a query at an aggregator ended.
type Outcome uint8

// Outcomes.
const (
	// Answered is a reply of the aggregator, whatever it says.
	Answered Outcome = iota
	// Declined is that the aggregator did not take the query.
	Declined
	// ConnectionLost is that the connection to the aggregator ended.
	ConnectionLost
	// Cancelled is that the caller left.
	Cancelled
)
