package configedit

// Status is the result of an edit, or the next step if there is none yet.
type Status string

// Statuses of an edit whose conditional update failed or got no reply.
const (
	// Accepted means that the edit is part of the document.
	Accepted Status = "accepted"
	// RetryUpdate means that the manifest is unchanged. The same conditional
	// update may be sent again: the store applies at most one of the two.
	RetryUpdate Status = "send-again"
	// Rebase means that other edits were applied and this one was not. Call
	// Decide on top of the manifest that was read.
	Rebase Status = "decide-again"
	// Conflict means that the edit was not applied because another edit changed
	// its section.
	Conflict Status = "conflict"
	// Unknown means that the manifest no longer lists enough edits to determine
	// the result. The section's history shows it.
	Unknown Status = "unknown"
)
