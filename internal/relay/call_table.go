package relay

import (
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// callTable maps the open calls of entries to the workers that run them, so that
// a call can be cancelled. It has its own lock: a worker that removes a call must
// not wait for the server's lock, since the server may hold it while it waits for
// room in the worker's inbox. It is safe for concurrent use.
type callTable struct {
	mu    sync.Mutex
	calls map[callKey]openCall
}

// callKey identifies a call. IDs are unique only within a connection.
type callKey struct {
	peer *wire.Peer
	id   uint64
}

// openCall names the worker that handles a call, and its ID of the leaf request.
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

// cancel forwards an entry's cancellation to the worker. It is dropped if the
// worker's inbox is full; the request then ends at its deadline.
func (t *callTable) cancel(key callKey) {
	t.mu.Lock()
	call, ok := t.calls[key]
	t.mu.Unlock()
	if ok {
		call.worker.post(requestCancelled{id: call.request})
	}
}
