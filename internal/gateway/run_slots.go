package gateway

import (
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/intake"
)

// runSlots counts the leaf requests that run. It is safe for concurrent use.
type runSlots struct {
	mu   sync.Mutex
	runs *intake.Runs
}

func newRunSlots(limit int) *runSlots { return &runSlots{runs: intake.NewRuns(limit)} }

// begin takes slots for a request to a number of shards, or returns false if there are none.
func (s *runSlots) begin(shards int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.Begin(shards)
}

// end returns slots.
func (s *runSlots) end(shards int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.End(shards)
}
