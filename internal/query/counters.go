package query

// Counters counts the extra sends, restarts and dropped events of one query.
type Counters struct {
	// UnknownAttempt counts events for attempts that were never sent.
	UnknownAttempt uint64
	// ClosedAttempt counts events for attempts that had already completed or were
	// aborted.
	ClosedAttempt uint64
	// WrongShard, WrongLeaf and WrongSnapshot count replies that were dropped
	// because they do not match their attempt.
	WrongShard, WrongLeaf, WrongSnapshot uint64
	// UnexpectedEvents counts events before Start or after Finish, and plans that
	// were not requested or are not newer than the pinned snapshot.
	UnexpectedEvents uint64
	// EmptyReplies counts merged replies without hits.
	EmptyReplies uint64
	// Hedges, Retries and Moves count sends of that kind; HedgeWins counts hedges
	// whose reply was merged.
	Hedges, Retries, Moves, HedgeWins uint64
	// Denied counts hedges, retries and moves that the budget refused.
	Denied uint64
	// Restarts counts restarts on a newer snapshot.
	Restarts uint64
}

// Strays returns the number of dropped events of attempts.
func (c Counters) Strays() uint64 {
	return c.UnknownAttempt + c.ClosedAttempt + c.WrongShard + c.WrongLeaf + c.WrongSnapshot
}
