package relay

import (
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// callTable finds the worker of an entry's open call, for its cancellation. It
// has its own lock: workers end calls while the server hands them events. It
// is safe for concurrent use.
type callTable struct {
	mu    sync.Mutex
	calls map[callKey]openCall
}

// callKey identifies a call by its connection and ID.
type callKey struct {
	peer *wire.Peer
	id   uint64
}

// openCall is a call that runs in a worker.
type openCall struct {
	worker  *leafWorker
	request uint64
}

func newCallTable() *callTable {
	return &callTable{calls: make(map[callKey]openCall)}
}

func (t *callTable) add(key callKey, call openCall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[key] = call
}

func (t *callTable) remove(key callKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, key)
}

// cancel passes on that an entry no longer waits. A cancellation that the
// worker has no room for is dropped: the request ends at its deadline.
func (t *callTable) cancel(key callKey) {
	t.mu.Lock()
	call, ok := t.calls[key]
	t.mu.Unlock()
	if ok {
		call.worker.post(requestCancelled{id: call.request})
	}
}
