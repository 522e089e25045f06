package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// senders is the number of entry VMs of a user.
	entryVMs = 9
	// connectionLimit is what a leaf accepts; each sender gets its share.
	connectionLimit = 25
)

// sender is one VM of the baseline: a plain fan-out over a fixed share of each
// leaf's connections, in the order of arrival.
type baselineEntry struct {
	sim         *sim
	zone        int
	zoneOut     []bool
	pools       []connectionPool
	nextReplica int
}

// pool is a sender's connections to one leaf.
type connectionPool struct {
	inUse   int
	waiting []*baselineCall
}

// plainCall is one request of the baseline.
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

// arrive sends a query to one leaf of each shard, in turn.
func (s *baselineEntry) arrive(class *topology.Class) {
	q := &baselineQuery{entry: s, class: class, arrivedAt: s.sim.Now, openCalls: s.sim.size.Shards}
	s.sim.After(class.Deadline, q.finish)
	for shard := range s.sim.size.Shards {
		q.send(s.pickLeaf(shard))
	}
}

func (s *baselineEntry) pickLeaf(shard int) *leaf {
	s.nextReplica++
	leaves := s.sim.leavesOf(shard)
	for i := range leaves {
		l := leaves[(s.nextReplica+shard+i)%len(leaves)]
		if !s.zoneOut[l.zone] {
			return l
		}
	}
	return nil
}

func (s *baselineEntry) submit(c *baselineCall) {
	p := &s.pools[c.leaf.index]
	if p.inUse >= connectionLimit/entryVMs {
		p.waiting = append(p.waiting, c)
		return
	}
	p.inUse++
	c.sent = true
	s.sim.network.send(s.zone, c.leaf.zone, c.leaf.index, func() { s.runAtLeaf(c) })
}

func (s *baselineEntry) runAtLeaf(c *baselineCall) {
	if c.ended {
		return
	}
	c.run = c.leaf.submit(func(o outcome) {
		s.sim.network.send(c.leaf.zone, s.zone, c.leaf.index, func() { c.complete(o == outcomeReply) })
	})
}

// release gives a connection to the next call that still waits for one.
func (s *baselineEntry) release(l *leaf) {
	p := &s.pools[l.index]
	p.inUse--
	for len(p.waiting) > 0 {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !c.ended {
			s.submit(c)
			return
		}
	}
}

// plainQuery waits for all shards until the deadline.
type baselineQuery struct {
	entry         *baselineEntry
	class         *topology.Class
	arrivedAt     time.Duration
	calls         []*baselineCall
	openCalls     int
	coveredShards uint64
	finished      bool
}
