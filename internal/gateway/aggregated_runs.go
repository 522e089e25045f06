package gateway

import (
	"context"
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// maxAggregatedRuns bounds the queries of other VMs that run here at a time. More
// would wait for the processor longer than at the VM that asks.
const maxAggregatedRuns = 64

// aggregatedRuns are the queries of other VMs that run here. It is safe for
// concurrent use.
type aggregatedRuns struct {
	mu   sync.Mutex
	runs map[aggregatedKey]context.CancelFunc
}

// aggregatedKey names a call of another VM.
type aggregatedKey struct {
	peer *wire.Peer
	id   uint64
}

// add adds a run, or returns false when there are too many.
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

// cancel ends a run whose caller left, if it is still there.
func (a *aggregatedRuns) cancel(key aggregatedKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.runs[key]; ok {
		cancel()
	}
}
