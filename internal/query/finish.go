package query

// Finish delivers the answer and completes the query. Only Abort actions follow it.
type Finish struct{ Answer Answer }

func (Finish) isAction() {}
