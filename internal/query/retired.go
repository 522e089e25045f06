package query

// Retired is the refusal of a leaf that no longer has the pinned version.
type Retired struct{ Attempt uint64 }

func (Retired) isEvent() {}
