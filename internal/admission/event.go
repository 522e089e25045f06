package admission

import "time"

// Event is an input to a Queue: Arrive, Complete, Cancel, SetCapacity or Wake.
type Event interface{ event() }

// Arrive requests a decision on a query. It is ignored if its ID belongs to a
// query that waits or runs.
type Arrive struct {
	ID       uint64
	Priority int
	// Deadline is when the answer is due, on the same clock as Step's now.
	Deadline time.Duration
	// ExpectedRunTime is the expected run time of queries of this class.
	ExpectedRunTime time.Duration
}

// Complete frees the capacity of an admitted query that no longer runs.
type Complete struct{ ID uint64 }

// Cancel reports that the caller of a query no longer waits for it. A waiting
// query is refused with ReasonCancelled. An admitted query keeps its capacity
// until Complete.
type Cancel struct{ ID uint64 }

// SetCapacity changes how many queries may run concurrently. Lowering it does
// not stop running queries.
type SetCapacity struct{ MaxRunning int }

// Wake lets the queue act on the passage of time.
type Wake struct{}

func (Arrive) event()      {}
func (Complete) event()    {}
func (Cancel) event()      {}
func (SetCapacity) event() {}
func (Wake) event()        {}
