package query

// Counters counts what one query did and what it dropped.
type Counters struct {
	// UnknownAttempt counts events for attempts that were never sent.
	UnknownAttempt uint64
	// ClosedAttempt counts events for attempts that had ended or were
	// aborted.
	ClosedAttempt uint64
	// WrongShard, WrongLeaf and WrongSnapshot count dropped replies that do
	// not match their attempt.
	WrongShard, WrongLeaf, WrongSnapshot uint64
	// UnexpectedEvents counts events before the start, after the end, and plans
	// that were not asked for or are not newer.
	UnexpectedEvents uint64
	// EmptyReplies counts merged replies without hits.
	EmptyReplies uint64
	// Hedges, Retries and Moves count sends; HedgeWins counts merged hedges.
	Hedges, Retries, Moves, HedgeWins uint64
	// Denied counts hedges, retries and moves that the budget refused.
	Denied uint64
	// Restarts counts restarts on a newer snapshot.
	Restarts uint64
}

// Strays is the number of attempt events that were dropped.
func (c Counters) Strays() uint64 {
	return c.UnknownAttempt + c.ClosedAttempt + c.WrongShard + c.WrongLeaf + c.WrongSnapshot
}
