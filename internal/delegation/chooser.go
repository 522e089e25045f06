package delegation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAdvantage is how many times this VM's processor an aggregator has. Below
	// it, the work of the hop, a frame each way at both ends, is not worth it.
	minAdvantage = 2
	// maxAggregators bounds the connections to aggregators.
	maxAggregators = 4
	// declinedRest is the pause after an aggregator declined a query. It has
	// another version of the configuration, which is in force within a second, or
	// too many queries.
	declinedRest = 100 * time.Millisecond
	// silentRest is the pause after an aggregator lost or did not answer a query:
	// the time in which a connection that went silent is closed.
	silentRest = 3 * time.Second
)

// Chooser chooses among the aggregators of one VM. It is not safe for concurrent
// use.
type Chooser struct {
	self        VM
	aggregators []VM
	states      map[string]*state
	// turn rotates aggregators that have the same number of queries.
	turn uint64
}

// state is what is known of an aggregator.
type state struct {
	// running counts this VM's queries there.
	running   int
	restUntil time.Duration
	silent    bool
}

// New returns a chooser without aggregators.
func New(self VM) *Chooser {
	return &Chooser{self: self, states: make(map[string]*state), turn: xxhash.Sum64String(self.Name)}
}

// SetMembers takes in all VMs and reports whether the aggregators changed.
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

// rank gives each VM an order of its own among many equal aggregators.
func (c *Chooser) rank(vm VM) uint64 { return xxhash.Sum64String(c.self.Name + "/" + vm.Address) }

// Addresses returns the addresses of the aggregators, to keep connections to.
func (c *Chooser) Addresses() []string {
	out := make([]string, 0, len(c.aggregators))
	for _, vm := range c.aggregators {
		out = append(out, vm.Address)
	}
	return out
}

// Choose returns the aggregator for a query and counts it, or false when the
// query runs here. open tells whether there is a connection to an address.
func (c *Chooser) Choose(now time.Duration, open func(addr string) bool) (VM, bool) {
	c.turn++
	best := -1
	for i := range c.aggregators {
		at := int((uint64(i) + c.turn) % uint64(len(c.aggregators)))
		vm := c.aggregators[at]
		s := c.states[vm.Address]
		if now < s.restUntil || !open(vm.Address) {
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

// Complete takes in how a query ended at an aggregator.
func (c *Chooser) Complete(now time.Duration, addr string, outcome Outcome) {
	s := c.states[addr]
	if s == nil {
		return
	}
	s.running = max(s.running-1, 0)
	switch outcome {
	case Answered:
		if s.silent {
			s.silent, s.restUntil = false, 0
		}
	case Declined:
		s.restUntil = max(s.restUntil, now+declinedRest)
	case ConnectionLost:
		s.restUntil = now + silentRest
	case Cancelled:
	}
}

// MarkOverdue takes in that an aggregator has not answered a query in the time in
// which it answers with what it has.
func (c *Chooser) MarkOverdue(now time.Duration, addr string) {
	if s := c.states[addr]; s != nil {
		s.silent, s.restUntil = true, now+silentRest
	}
}
