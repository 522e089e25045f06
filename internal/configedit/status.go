package configedit

// Status tells what became of an edit, or what to do next.
type Status string

// Verdicts on an edit whose conditional update failed or stayed without an
// answer.
const (
	// Accepted means that the edit is part of the document.
	Accepted Status = "accepted"
	// RetryUpdate means that the manifest is unchanged. The same conditional
	// update may be sent again: the store applies at most one of the two.
	RetryUpdate Status = "send-again"
	// Rebase means that the edit was not applied and that others were:
	// Decide on top of the manifest that was read.
	Rebase Status = "decide-again"
	// Conflict means that the edit was not applied and that its section was
	// changed by another edit.
	Conflict Status = "conflict"
	// Unknown means that the manifest no longer tells; the section's history
	// does.
	Unknown Status = "unknown"
)
