package admission

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Action is a decision of a Queue: Admit or Refuse. Every query that arrives
// gets exactly one.
type Action interface{ action() }

// Admit allows a query to run.
type Admit struct{ ID uint64 }

// Refuse rejects a query that has not run.
type Refuse struct {
	ID     uint64
	Reason errs.Reason
}

func (Admit) action()  {}
func (Refuse) action() {}
