package query

// Merge adds the hits of an attempt's reply to the answer.
type Merge struct{ Attempt uint64 }

func (Merge) isAction() {}
