package query

// Discard drops all merged hits, because the query restarts on another
// snapshot.
type Discard struct{}

func (Discard) isAction() {}
