package query

// Merge takes the hits of an attempt's reply into the answer.
type Merge struct{ Attempt uint64 }

func (Merge) isAction() {}
