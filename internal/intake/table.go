package intake

import "time"

// ID identifies a caller: a connection, or a query of another VM.
type ID uint64

// state is what a caller does.
type state int

const (
	// idle callers have sent no part of a request.
	idle state = iota
	// sending callers have sent a part of a request.
	sending
	// running callers have sent a whole request that is not answered.
	running
)

// caller is what one caller takes.
type caller struct {
	state state
	// since is when the state began.
	since time.Duration
	bytes int64
	// counted is true while the caller counts as one of the connections.
	counted bool
	// evicted is true once the caller must make room, displaced if that is for a connection.
	evicted, displaced bool
}

// beyondAllowance returns the shared memory that the caller takes.
func (c *caller) beyondAllowance() int64 { return max(c.bytes-Allowance, 0) }

// mayEvict reports whether the caller may be made to leave.
func (c *caller) mayEvict(now time.Duration) bool {
	return c.state != running && !c.evicted && now-c.since >= Patience
}

// Table holds what callers take. Time is monotonic. It is not safe for concurrent use.
type Table struct {
	config  Config
	callers map[ID]*caller
	// connections is the number of connected callers, taken the shared memory that is taken.
	connections int
	taken       int64
}

// New returns a table without callers.
func New(config Config) *Table { return &Table{config: config, callers: make(map[ID]*caller)} }

// Connect adds a new connection and returns true, or returns false if there are too many. It may
// first evict another caller, which has to be disconnected then.
func (t *Table) Connect(now time.Duration, id ID) (evicted []ID, ok bool) {
	if t.connections >= t.config.Connections {
		victim, found := t.oldest(now, func(c *caller) bool { return c.counted })
		if !found {
			return nil, false
		}
		c := t.callers[victim]
		c.evicted, c.displaced, c.counted = true, true, false
		t.connections--
		evicted = []ID{victim}
	}
	t.connections++
	t.callers[id] = &caller{since: now, counted: true}
	return evicted, true
}

// AddRun adds a query of another VM, which has arrived as a whole.
func (t *Table) AddRun(now time.Duration, id ID) {
	t.callers[id] = &caller{state: running, since: now}
}

// Take sets the memory that a caller takes for its request and returns true, or returns false and
// changes nothing if the shared memory does not have it. It may name callers that have to be
// disconnected; their memory can be taken once they have been removed.
func (t *Table) Take(now time.Duration, id ID, bytes int64) (evicted []ID, ok bool) {
	c := t.callers[id]
	if c == nil {
		return nil, false
	}
	grown := caller{bytes: bytes}
	more := grown.beyondAllowance() - c.beyondAllowance()
	if lacking := t.taken + more - t.config.Memory; more > 0 && lacking > 0 {
		return t.makeRoom(now, id, lacking), false
	}
	t.taken += more
	c.bytes = bytes
	return nil, true
}

// makeRoom evicts callers other than the one with the given ID until they return the memory that
// is lacking, the longest at it first.
func (t *Table) makeRoom(now time.Duration, id ID, lacking int64) (evicted []ID) {
	for other, c := range t.callers {
		if c.evicted && other != id {
			lacking -= c.beyondAllowance()
		}
	}
	for lacking > 0 {
		victim, found := t.oldest(now, func(c *caller) bool { return c.beyondAllowance() > 0 && c != t.callers[id] })
		if !found {
			return evicted
		}
		t.callers[victim].evicted = true
		lacking -= t.callers[victim].beyondAllowance()
		evicted = append(evicted, victim)
	}
	return evicted
}

// oldest returns the caller whose state began first among those that match and may be evicted.
// Idle ones come before others.
func (t *Table) oldest(now time.Duration, match func(*caller) bool) (ID, bool) {
	var best ID
	var found *caller
	for id, c := range t.callers {
		if !c.mayEvict(now) || !match(c) {
			continue
		}
		if found == nil || c.state < found.state || c.state == found.state && c.since < found.since {
			best, found = id, c
		}
	}
	return best, found != nil
}

// Send records that a part of a request has arrived from a caller.
func (t *Table) Send(now time.Duration, id ID) { t.enter(now, id, sending) }

// Run records that the whole request of a caller has arrived.
func (t *Table) Run(now time.Duration, id ID) { t.enter(now, id, running) }

// Rest records that a caller has its answer.
func (t *Table) Rest(now time.Duration, id ID) { t.enter(now, id, idle) }

// enter records the state of a caller. One that completes a request at the moment at which it is
// evicted stays.
func (t *Table) enter(now time.Duration, id ID, s state) {
	c := t.callers[id]
	if c == nil || c.state == s {
		return
	}
	if c.displaced {
		c.counted = true
		t.connections++
	}
	c.state, c.since, c.evicted, c.displaced = s, now, false, false
}

// Remove removes a caller and returns what it has taken.
func (t *Table) Remove(id ID) {
	c := t.callers[id]
	if c == nil {
		return
	}
	t.taken -= c.beyondAllowance()
	if c.counted {
		t.connections--
	}
	delete(t.callers, id)
}

// Connections returns the number of connections, except for those that were evicted for others.
func (t *Table) Connections() int { return t.connections }

// Taken returns the shared memory that is taken, in bytes.
func (t *Table) Taken() int64 { return t.taken }
