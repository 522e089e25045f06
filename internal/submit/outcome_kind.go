package submit

// OutcomeKind is what is known of a request. The zero value claims nothing.
type OutcomeKind uint8

// Kinds of outcome; these are all the answers that a caller can get.
const (
	// Unknown means that the request may or may not have run.
	Unknown OutcomeKind = iota
	// NotRun means that the request has not run and never will under its
	// ticket, so it may be repeated under a new one.
	NotRun
	// Done means that the request ran once.
	Done
)

// String returns the kind as messages and logs show it.
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
