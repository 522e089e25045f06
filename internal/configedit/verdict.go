package configedit

// Verdict tells what became of an edit, or what to do next.
type Verdict string

// Verdicts on an edit whose conditional update failed or stayed without an
// answer.
const (
	// Accepted means that the edit is part of the document.
	Accepted Verdict = "accepted"
	// SendAgain means that the manifest is unchanged. The same conditional
	// update may be sent again: the store applies at most one of the two.
	SendAgain Verdict = "send-again"
	// DecideAgain means that the edit was not applied and that others were:
	// Decide on top of the manifest that was read.
	DecideAgain Verdict = "decide-again"
	// Conflict means that the edit was not applied and that its section was
	// changed by another edit.
	Conflict Verdict = "conflict"
	// Unknown means that the manifest no longer tells; the section's history
	// does.
	Unknown Verdict = "unknown"
)
