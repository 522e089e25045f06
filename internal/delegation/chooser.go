package delegation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAdvantage times this VM's CPU is the least CPU of an aggregator. With less,
	// the gain does not outweigh the cost of the hop: a frame in each direction,
	// processed at both ends.
	minAdvantage = 2
	// maxAggregators bounds the connections to aggregators.
	maxAggregators = 4
	// declinedBackoff is the backoff after an aggregator declined a query. Either it
	// has another version of the configuration, which reaches all VMs within a
	// second, or it has too many queries.
	declinedBackoff = 100 * time.Millisecond
	// unresponsiveBackoff is the backoff after the connection to an aggregator was
	// lost or an answer was overdue. Within this time, a connection whose peer has
	// become unresponsive is closed.
	unresponsiveBackoff = 3 * time.Second
)

// Chooser selects an aggregator for each query of one VM. It is not safe for
// concurrent use.
type Chooser struct {
	self        VM
	aggregators []VM
	states      map[string]*state
	// rotation changes with each query, so that aggregators with the same number of
	// queries alternate.
	rotation uint64
}

// state is the state of one aggregator.
type state struct {
	// running counts this VM's queries at the aggregator.
	running      int
	backoffUntil time.Duration
	// unresponsive is true from an overdue answer until the next answer.
	unresponsive bool
}

// New returns a chooser without aggregators.
func New(self VM) *Chooser {
	return &Chooser{self: self, states: make(map[string]*state), rotation: xxhash.Sum64String(self.Name)}
}

// SetMembers selects the aggregators among all VMs and reports whether they changed.
func (c *Chooser) SetMembers(vms []VM) bool {
	var next []VM
	for _, vm := range vms {
		if vm.aggregatesFor(c.self) {
			next = append(next, vm)
		}
	}
	slices.SortFunc(next, func(a, b VM) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(c.rank(a), c.rank(b))) })
	next = next[:min(len(next), maxAggregators)]
	if slices.Equal(next, c.aggregators) {
		return false
	}
	c.aggregators = next
	states := make(map[string]*state, len(next))
	for _, vm := range next {
		if states[vm.Address] = c.states[vm.Address]; states[vm.Address] == nil {
			states[vm.Address] = &state{}
		}
	}
	c.states = states
	return true
}

// rank orders aggregators of equal size differently on each VM, so that not all VMs
// select the same ones.
func (c *Chooser) rank(vm VM) uint64 { return xxhash.Sum64String(c.self.Name + "/" + vm.Address) }

// Addresses returns the addresses of the aggregators, to which connections are kept
// open.
func (c *Chooser) Addresses() []string {
	out := make([]string, 0, len(c.aggregators))
	for _, vm := range c.aggregators {
		out = append(out, vm.Address)
	}
	return out
}

// Choose returns the aggregator for a query and counts the query as running there.
// It returns false if this VM is to run the query. connected reports whether there is
// an open connection to an address.
func (c *Chooser) Choose(now time.Duration, connected func(addr string) bool) (VM, bool) {
	c.rotation++
	best := -1
	for i := range c.aggregators {
		at := int((uint64(i) + c.rotation) % uint64(len(c.aggregators)))
		vm := c.aggregators[at]
		s := c.states[vm.Address]
		if now < s.backoffUntil || !connected(vm.Address) {
			continue
		}
		if best < 0 || s.running < c.states[c.aggregators[best].Address].running {
			best = at
		}
	}
	if best < 0 {
		return VM{}, false
	}
	vm := c.aggregators[best]
	c.states[vm.Address].running++
	return vm, true
}

// Complete records the outcome of a query that Choose assigned to an aggregator.
func (c *Chooser) Complete(now time.Duration, addr string, outcome Outcome) {
	s := c.states[addr]
	if s == nil {
		return
	}
	s.running = max(s.running-1, 0)
	switch outcome {
	case Answered:
		if s.unresponsive {
			s.unresponsive, s.backoffUntil = false, 0
		}
	case Declined:
		s.backoffUntil = max(s.backoffUntil, now+declinedBackoff)
	case ConnectionLost:
		s.backoffUntil = now + unresponsiveBackoff
	case Cancelled:
	}
}

// MarkOverdue records that an aggregator has not answered a query by the time at
// which it sends an answer even if shards are missing.
func (c *Chooser) MarkOverdue(now time.Duration, addr string) {
	if s := c.states[addr]; s != nil {
		s.unresponsive, s.backoffUntil = true, now+unresponsiveBackoff
	}
}
