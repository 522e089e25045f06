package objectfeed

// Position is a state of the store: a revision of an era. A store that is restored from an
// older copy begins a new era and gives out revisions again.
type Position struct{ Era, Revision uint64 }

// Before reports whether a position is older than another one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}
