package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// senders is the number of entry VMs of a user.
	senders = 9
	// connectionLimit is what a leaf accepts; each sender gets its share.
	connectionLimit = 25
)

// sender is one VM of the baseline: a plain fan-out over a fixed share of each
// leaf's connections, in the order of arrival.
type sender struct {
	sim   *sim
	zone  int
	out   []bool
	pools []pool
	next  int
}

// pool is a sender's connections to one leaf.
type pool struct {
	busy    int
	waiting []*plainCall
}

// plainCall is one request of the baseline.
type plainCall struct {
	query *plainQuery
	leaf  *leaf
	run   *run
	sent  bool
	ended bool
}

func newSender(s *sim, number int) *sender {
	return &sender{
		sim: s, zone: number % s.size.Zones,
		out: make([]bool, s.size.Zones), pools: make([]pool, len(s.leaves)),
	}
}

// arrive sends a query to one leaf of each shard, in turn.
func (s *sender) arrive(class *topology.Class) {
	q := &plainQuery{sender: s, class: class, arrived: s.sim.Now, open: s.sim.size.Shards}
	s.sim.After(class.Deadline, q.finish)
	for shard := range s.sim.size.Shards {
		q.send(s.pick(shard))
	}
}

func (s *sender) pick(shard int) *leaf {
	s.next++
	leaves := s.sim.leavesOf(shard)
	for i := range leaves {
		l := leaves[(s.next+shard+i)%len(leaves)]
		if !s.out[l.zone] {
			return l
		}
	}
	return nil
}

func (s *sender) submit(c *plainCall) {
	p := &s.pools[c.leaf.index]
	if p.busy >= connectionLimit/senders {
		p.waiting = append(p.waiting, c)
		return
	}
	p.busy++
	c.sent = true
	s.sim.network.send(s.zone, c.leaf.zone, c.leaf.index, func() { s.runAtLeaf(c) })
}

func (s *sender) runAtLeaf(c *plainCall) {
	if c.ended {
		return
	}
	c.run = c.leaf.submit(func(o outcome) {
		s.sim.network.send(c.leaf.zone, s.zone, c.leaf.index, func() { c.end(o == outcomeReply) })
	})
}

// release gives a connection to the next call that still waits for one.
func (s *sender) release(l *leaf) {
	p := &s.pools[l.index]
	p.busy--
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
type plainQuery struct {
	sender  *sender
	class   *topology.Class
	arrived time.Duration
	calls   []*plainCall
	open    int
	covered uint64
	done    bool
}
