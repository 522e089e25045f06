package query

// Discard drops all merged hits, because the query restarts on a newer snapshot.
type Discard struct{}

func (Discard) isAction() {}
