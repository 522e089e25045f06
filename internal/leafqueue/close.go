package leafqueue

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Close refuses all queued and all later requests. Running requests continue.
type Close struct {
	Reason errs.Reason
}

func (Close) event() {}
