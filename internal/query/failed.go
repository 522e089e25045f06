package query

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Failed reports that an attempt has completed without a reply.
type Failed struct {
	Attempt uint64
	Reason  errs.Reason
	// NotRun is true when the request is known not to have run.
	NotRun bool
	// Crash is true for a crash-like loss: the connection was reset or the leaf
	// restarted while the request was running.
	Crash bool
	// Candidates are leaves that may serve the shard now. Those that the plan has already
	// are ignored.
	Candidates []Candidate
}

func (Failed) isEvent() {}
