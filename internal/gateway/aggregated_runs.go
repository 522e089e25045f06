package gateway

import (
	"context"
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// maxAggregatedRuns limits the queries of other VMs that run here at a time.
// More would wait for the CPU longer than at the VM that delegates them.
const maxAggregatedRuns = 64

// aggregatedRuns holds the queries of other VMs that run here. It is safe for
// concurrent use.
type aggregatedRuns struct {
	mu   sync.Mutex
	runs map[aggregatedKey]context.CancelFunc
}

// aggregatedKey identifies a call of another VM.
type aggregatedKey struct {
	peer *wire.Peer
	id   uint64
}

// add adds a run, or returns false when there are maxAggregatedRuns already.
func (a *aggregatedRuns) add(key aggregatedKey, cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.runs) >= maxAggregatedRuns {
		return false
	}
	a.runs[key] = cancel
	return true
}

func (a *aggregatedRuns) remove(key aggregatedKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, key)
}

// count returns the number of runs.
func (a *aggregatedRuns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

// cancel cancels a run whose caller left, if it has not completed.
func (a *aggregatedRuns) cancel(key aggregatedKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.runs[key]; ok {
		cancel()
	}
}
