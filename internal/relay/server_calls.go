package relay

import (
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// openCall is a call of an entry that runs in a worker.
type openCall struct {
	worker  *leafWorker
	request uint64
}

func (s *Server) remember(key callKey, w *leafWorker, request uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[key] = openCall{worker: w, request: request}
}

func (s *Server) forget(key callKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, key)
}

// cancel passes on that an entry no longer waits. A cancellation that the
// worker has no room for is dropped: the request ends at its deadline.
func (s *Server) cancel(p *wire.Peer, id uint64) {
	s.mu.Lock()
	call, ok := s.calls[callKey{peer: p, id: id}]
	s.mu.Unlock()
	if ok {
		call.worker.post(requestCancelled{id: call.request})
	}
}
