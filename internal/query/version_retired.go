package query

// VersionRetired is the refusal of a leaf that no longer has the pinned version.
type VersionRetired struct{ Attempt uint64 }

func (VersionRetired) isEvent() {}
