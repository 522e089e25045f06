package query

// CallerGone cancels the query because its caller has disconnected or cancelled it.
type CallerGone struct{}

func (CallerGone) isEvent() {}
