package query

// Abort cancels an attempt whose reply would no longer be merged.
type Abort struct{ Attempt uint64 }

func (Abort) isAction() {}
