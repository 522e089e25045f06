package admission

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Action is a decision of a Queue: Admit or Refuse. Every query that arrives
// gets exactly one.
type Action interface{ action() }

// Admit lets a query run.
type Admit struct{ ID uint64 }

// Refuse turns a query away; it has not run.
type Refuse struct {
	ID     uint64
	Reason errs.Reason
}

func (Admit) action()  {}
func (Refuse) action() {}
