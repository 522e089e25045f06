package query

// Finish ends the query. Only Abort actions follow it.
type Finish struct{ Answer Answer }

func (Finish) isAction() {}
