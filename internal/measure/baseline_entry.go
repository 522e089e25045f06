package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// entryVMs is the number of entry VMs of a user.
	entryVMs = 9
	// connectionLimit is the number of connections that a leaf accepts. Each
	// entry VM gets an equal share.
	connectionLimit = 25
)

// baselineEntry is one entry VM of the baseline policy. It sends requests over a
// fixed share of each leaf's connections in the order of arrival.
type baselineEntry struct {
	sim         *sim
	zone        int
	zoneOut     []bool
	pools       []connectionPool
	nextReplica int
}

// connectionPool counts the connections from an entry VM to one leaf that are in
// use, and holds the calls that wait for one.
type connectionPool struct {
	inUse   int
	waiting []*baselineCall
}

// baselineCall is one request to a leaf under the baseline policy.
type baselineCall struct {
	query *baselineQuery
	leaf  *leaf
	run   *leafRun
	sent  bool
	ended bool
}

func newBaselineEntry(s *sim, index int) *baselineEntry {
	return &baselineEntry{
		sim: s, zone: index % s.size.Zones,
		zoneOut: make([]bool, s.size.Zones), pools: make([]connectionPool, len(s.leaves)),
	}
}

// arrive sends a query to one leaf of each shard. Leaves are picked round-robin.
func (e *baselineEntry) arrive(class *topology.Class) {
	q := &baselineQuery{entry: e, class: class, arrivedAt: e.sim.Now, openCalls: e.sim.size.Shards}
	e.sim.After(class.Deadline, q.finish)
	for shard := range e.sim.size.Shards {
		q.send(e.pickLeaf(shard))
	}
}

func (e *baselineEntry) pickLeaf(shard int) *leaf {
	e.nextReplica++
	leaves := e.sim.leavesOf(shard)
	for i := range leaves {
		l := leaves[(e.nextReplica+shard+i)%len(leaves)]
		if !e.zoneOut[l.zone] {
			return l
		}
	}
	return nil
}

func (e *baselineEntry) submit(c *baselineCall) {
	p := &e.pools[c.leaf.index]
	if p.inUse >= connectionLimit/entryVMs {
		p.waiting = append(p.waiting, c)
		return
	}
	p.inUse++
	c.sent = true
	e.sim.network.send(e.zone, c.leaf.zone, c.leaf.index, func() { e.runAtLeaf(c) })
}

func (e *baselineEntry) runAtLeaf(c *baselineCall) {
	if c.ended {
		return
	}
	c.run = c.leaf.submit(func(o outcome) {
		e.sim.network.send(c.leaf.zone, e.zone, c.leaf.index, func() { c.complete(o == outcomeReply) })
	})
}

// release passes a connection on to the next call that still waits for one.
func (e *baselineEntry) release(l *leaf) {
	p := &e.pools[l.index]
	p.inUse--
	for len(p.waiting) > 0 {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !c.ended {
			e.submit(c)
			return
		}
	}
}

// baselineQuery is a query under the baseline policy. It waits for all shards
// until the deadline.
type baselineQuery struct {
	entry         *baselineEntry
	class         *topology.Class
	arrivedAt     time.Duration
	calls         []*baselineCall
	openCalls     int
	coveredShards uint64
	finished      bool
}
