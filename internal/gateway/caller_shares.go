package gateway

import (
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/memshare"
)

// callerShares counts the requests of callers that run, by route. A connection cannot be closed for
// others while its request runs; so they may run on a part of the connections only, and those of one
// route leave some for others. It is safe for concurrent use.
type callerShares struct {
	mu    sync.Mutex
	table *memshare.Table
}

// newCallerShares returns shares of a number of connections.
func newCallerShares(connections int64) *callerShares {
	return &callerShares{table: memshare.New(connections)}
}

// setRoutes sets the number of routes.
func (s *callerShares) setRoutes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetRoutes(n)
}

// begin counts a request of a route and returns true, or returns false if there are too many.
func (s *callerShares) begin(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Take(route, 1)
}

// end returns what begin has counted.
func (s *callerShares) end(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Return(route, 1)
}
