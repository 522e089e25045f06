package query

// VersionRetired reports that a leaf refused an attempt because it no longer has
// the pinned index version.
type VersionRetired struct{ Attempt uint64 }

func (VersionRetired) isEvent() {}
