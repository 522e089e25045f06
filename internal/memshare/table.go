package memshare

// Table holds what each route has taken of the memory. It is not safe for concurrent use.
type Table struct {
	// shared is the half of the memory that is not divided, part what each route has of the
	// other half.
	shared, part int64
	taken        map[string]int64
	// sharedTaken is what the routes have taken beyond their parts.
	sharedTaken int64
}

// New returns a table of a memory of limit bytes for one route.
func New(limit int64) *Table {
	return &Table{shared: limit / 2, part: limit / 2, taken: make(map[string]int64)}
}

// SetRoutes sets the number of routes. What has been taken stays taken.
func (t *Table) SetRoutes(n int) {
	t.part = t.shared / int64(max(n, 1))
	t.sharedTaken = 0
	for _, bytes := range t.taken {
		t.sharedTaken += t.beyondPart(bytes)
	}
}

// Take takes bytes for a route and returns true, or returns false if the route would then
// have more of the shared half than is left for others.
func (t *Table) Take(route string, bytes int64) bool {
	before := t.taken[route]
	beyond := t.beyondPart(before + bytes)
	sharedTaken := t.sharedTaken - t.beyondPart(before) + beyond
	if beyond > 0 && beyond > t.shared-sharedTaken {
		return false
	}
	t.set(route, before+bytes, sharedTaken)
	return true
}

// Return returns bytes that a route has taken.
func (t *Table) Return(route string, bytes int64) {
	before := t.taken[route]
	t.set(route, before-bytes, t.sharedTaken-t.beyondPart(before)+t.beyondPart(before-bytes))
}

func (t *Table) set(route string, taken, sharedTaken int64) {
	t.sharedTaken = sharedTaken
	if taken <= 0 {
		delete(t.taken, route)
		return
	}
	t.taken[route] = taken
}

// Taken returns the bytes that all routes have taken.
func (t *Table) Taken() (bytes int64) {
	for _, taken := range t.taken {
		bytes += taken
	}
	return bytes
}

func (t *Table) beyondPart(taken int64) int64 { return max(taken-t.part, 0) }
