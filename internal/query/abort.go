package query

// Abort cancels an attempt whose reply is no longer needed.
type Abort struct{ Attempt uint64 }

func (Abort) isAction() {}
