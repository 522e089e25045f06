package admission

import "time"

// Event is an input to a Queue: Arrive, Complete, Cancel, SetCapacity or Wake.
type Event interface{ event() }

// Arrive asks for a decision on a query. Its ID must not be in use by a query
// that waits or runs; such an event is ignored.
type Arrive struct {
	ID       uint64
	Priority int
	// Deadline is when the answer is due, on the scale of Step's now.
	Deadline time.Duration
	// ExpectedRunTime is the expected run time of the class.
	ExpectedRunTime time.Duration
}

// Complete says that an admitted query has ended.
type Complete struct{ ID uint64 }

// Cancel says that the caller of a query has gone. A waiting query is refused
// with ReasonCancelled; an admitted one still needs its Complete.
type Cancel struct{ ID uint64 }

// SetCapacity changes how many queries may run at a time. Queries that already
// run are not stopped when it falls.
type SetCapacity struct{ MaxRunning int }

// Wake only lets time pass.
type Wake struct{}

func (Arrive) event()      {}
func (Complete) event()    {}
func (Cancel) event()      {}
func (SetCapacity) event() {}
func (Wake) event()        {}
