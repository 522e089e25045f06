package query

// CallerGone ends the query because nobody waits for the answer.
type CallerGone struct{}

func (CallerGone) isEvent() {}
