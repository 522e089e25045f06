package leafqueue

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Refuse ends a request that was never dispatched, so "not run" is true.
type Refuse struct {
	ID     uint64
	Reason errs.Reason
}

func (Refuse) action() {}
