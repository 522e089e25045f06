package leafconn

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/memshare"
)

// ReplyMemory limits the memory of all replies that a VM keeps, from their first byte to
// their last use. A small VM has 184 MB, and the garbage collector lets the heap grow to
// twice the memory in use. A quarter, which one route can always have, holds the longest
// reply.
const ReplyMemory = 40 << 20

// errNoMemory is returned when there is no memory because of what the route takes already.
var errNoMemory = errors.New("the route takes too much memory")

// Memory is memory that routes share, such as that of the replies that a VM keeps. It is safe
// for concurrent use.
type Memory struct {
	mu    sync.Mutex
	table *memshare.Table
}

// NewMemory returns a memory of limit bytes of which nothing is taken.
func NewMemory(limit int64) *Memory { return &Memory{table: memshare.New(limit)} }

// SetRoutes sets the number of routes that share the memory.
func (m *Memory) SetRoutes(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetRoutes(n)
}

// Taken returns the memory that is taken, in bytes.
func (m *Memory) Taken() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Taken()
}

// Reservation is the memory that one exchange or run takes. It has several users, such as the
// exchange and the run that merges its reply; the last one that releases it returns the
// memory. Taking memory is not safe for concurrent use. A nil Reservation has no limit.
type Reservation struct {
	memory *Memory
	route  string
	bytes  int64
	users  atomic.Int32
}

// Reserve returns a reservation for a route, which has taken nothing yet.
func (m *Memory) Reserve(route string, users int32) *Reservation {
	r := &Reservation{memory: m, route: route}
	r.users.Store(users)
	return r
}

// Resize changes the memory that is taken to a number of bytes, or returns an error and
// changes nothing.
func (r *Reservation) Resize(bytes int64) error {
	if r == nil || bytes == r.bytes {
		return nil
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if bytes < r.bytes {
		r.memory.table.Return(r.route, r.bytes-bytes)
	} else if !r.memory.table.Take(r.route, bytes-r.bytes) {
		return errNoMemory
	}
	r.bytes = bytes
	return nil
}

// Release ends the use by one user.
func (r *Reservation) Release() {
	if r == nil || r.users.Add(-1) > 0 {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.table.Return(r.route, r.bytes)
	r.bytes = 0
}
