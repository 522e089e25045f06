package query

// Budget limits hedges, retries and moves over all queries.
type Budget interface {
	// TrySpend takes one send of the kind from the budget and reports
	// whether there was room. A granted send always follows.
	TrySpend(kind Kind) bool
}
