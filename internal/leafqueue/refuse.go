package leafqueue

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Refuse rejects a request that was never dispatched, so that its reply can
// state that the request did not run.
type Refuse struct {
	ID     uint64
	Reason errs.Reason
}

func (Refuse) action() {}
