package submit

// OutcomeKind is whether a request has run. The zero value is Unknown.
type OutcomeKind uint8

// Kinds of outcome, which are all the answers that a caller can get.
const (
	// Unknown means that the request may or may not have run.
	Unknown OutcomeKind = iota
	// NotRun means that the request has not run and never will under its
	// ticket, so it may be repeated under a new one.
	NotRun
	// Done means that the request ran exactly once.
	Done
)

// String returns the kind in the form used in messages and logs.
func (k OutcomeKind) String() string {
	switch k {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	default:
		return "outcome unknown"
	}
}
