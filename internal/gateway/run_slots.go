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

// runMemoryPerShard is the memory that a run takes for each shard while it waits for replies, in
// bytes: the stack of a goroutine and the state of a leaf request.
const runMemoryPerShard = 8 << 10

// reserveRun takes the memory and the slots of the run of a call until release, and returns false
// and takes nothing if there are none left for its route.
func (n *Node) reserveRun(c *call) bool {
	shards := max(len(c.route.Shards), 1)
	memory := n.runMemory.Reserve(c.route.Name, 1)
	if memory.Resize(runMemoryPerShard*int64(shards)) != nil {
		return false
	}
	if !n.runSlots.begin(shards) {
		memory.Release()
		return false
	}
	c.memory, c.slots = memory, shards
	return true
}

// release returns what reserveRun has taken, and the memory of a query of another VM.
func (n *Node) release(c *call) {
	c.memory.Release()
	n.runSlots.end(c.slots)
	n.callers.remove(c.delegatedID)
}
