package query

// Replanned is the response to a Replan action.
type Replanned struct {
	Plan Plan
	// OK is false when there is no newer snapshot.
	OK bool
}

func (Replanned) isEvent() {}
