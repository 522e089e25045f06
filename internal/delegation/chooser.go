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
	// busyRuns is how many queries an aggregator runs when further ones go to the next
	// one. A fan-out to 180 leaves takes about 20 ms of its CPU time and 100 ms in
	// all, so that with more of them they wait for each other.
	busyRuns = 4
	// loadLifetime is how long the load that an aggregator reported describes it: about
	// the time of a query.
	loadLifetime = 200 * time.Millisecond
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
}

// state is the state of one aggregator.
type state struct {
	// running counts this VM's queries at the aggregator.
	running int
	// reportedRuns is how many queries the aggregator ran at reportedAt.
	reportedRuns int
	reportedAt   time.Duration
	backoffUntil time.Duration
	// unresponsive is true from an overdue answer until the next answer.
	unresponsive bool
}

// New returns a chooser without aggregators.
func New(self VM) *Chooser {
	return &Chooser{self: self, states: make(map[string]*state)}
}

// SetMembers selects the aggregators among all VMs and reports whether they changed.
func (c *Chooser) SetMembers(vms []VM) bool {
	var next []VM
	for _, vm := range vms {
		if vm.aggregatesFor(c.self) {
			next = append(next, vm)
		}
	}
	slices.SortFunc(next, func(a, b VM) int { return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(rank(a), rank(b))) })
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

// rank orders aggregators of equal size in the same way on all VMs, so that they prefer
// the same one.
func rank(vm VM) uint64 { return xxhash.Sum64String(vm.Address) }

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
//
// The first aggregator that is not busy gets the query. Leaves close idle connections
// after about a second; queries that are spread over all aggregators find theirs closed,
// and opening one takes a round trip, the leaf's handshake and CPU time.
func (c *Chooser) Choose(now time.Duration, connected func(addr string) bool) (VM, bool) {
	best, fewest := -1, 0
	for i, vm := range c.aggregators {
		s := c.states[vm.Address]
		if now < s.backoffUntil || !connected(vm.Address) {
			continue
		}
		if runs := s.runs(now); best < 0 || runs < fewest {
			best, fewest = i, runs
		}
		if fewest < busyRuns {
			break
		}
	}
	if best < 0 {
		return VM{}, false
	}
	vm := c.aggregators[best]
	c.states[vm.Address].running++
	return vm, true
}

// runs returns how many queries the aggregator runs, as far as this VM knows.
func (s *state) runs(now time.Duration) int {
	if s.reportedAt == 0 || now-s.reportedAt > loadLifetime {
		return s.running
	}
	return max(s.running, s.reportedRuns)
}

// RecordLoad records how many queries an aggregator ran when it answered.
func (c *Chooser) RecordLoad(now time.Duration, addr string, runs int) {
	if s := c.states[addr]; s != nil {
		s.reportedRuns, s.reportedAt = runs, now
	}
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

// MarkOverdue records that an aggregator has not answered in time: a query by the time
// at which it sends an answer even if shards are missing, or another call. It reports
// whether the address is one of an aggregator.
func (c *Chooser) MarkOverdue(now time.Duration, addr string) bool {
	s := c.states[addr]
	if s != nil {
		s.unresponsive, s.backoffUntil = true, now+unresponsiveBackoff
	}
	return s != nil
}
