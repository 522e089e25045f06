package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Random streams of a run. Arrivals and run times have streams of their own,
// so that all policies meet the same ones.
const (
	streamArrivals = iota
	streamNetwork
	streamEntries
	streamLeaves = 100
)

// sim is one run.
type sim struct {
	eventloop.Loop
	scenario Scenario
	size     Size
	policy   Policy
	result   *Result
	arrivals *rand.Rand

	network *network
	shards  []topology.ShardID
	leaves  []*leaf
	byID    map[topology.LeafID]*relay
	entries []*entry
	senders []*sender
	// outSince is when each availability zone was taken out, else 0.
	outSince []time.Duration
}

// Run measures a policy under a scenario.
func Run(scenario Scenario, size Size, policy Policy, seed uint64) *Result {
	s := &sim{
		scenario: scenario, size: size, policy: policy,
		arrivals: stream(seed, streamArrivals),
		byID:     make(map[topology.LeafID]*relay),
		outSince: make([]time.Duration, size.Zones),
		result: &Result{
			Scenario: scenario, Size: size, Policy: policy, Seed: seed,
			Main: newFigures(), Side: newFigures(), Falls: make(map[string]int),
		},
	}
	s.network = &network{
		loop: &s.Loop, rng: stream(seed, streamNetwork), oneWay: size.OneWay,
		lossy: scenario.Lossy, last: make(map[lane]time.Duration),
	}
	s.addLeaves(seed)
	s.addSenders(seed)
	if scenario.fault != nil {
		scenario.fault(s)
	}
	s.After(0, s.nextArrival)
	s.RunUntil(rampTime + scenario.Length)
	s.conclude()
	return s.result
}

func stream(seed, number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }

// addLeaves spreads the leaves of each shard over neighbouring zones.
func (s *sim) addLeaves(seed uint64) {
	for shard := range s.size.Shards {
		s.shards = append(s.shards, topology.ShardID("s"+strconv.Itoa(shard)))
		for replica := range leavesPerShard {
			index := len(s.leaves)
			s.leaves = append(s.leaves, &leaf{
				loop: &s.Loop, index: index, zone: (shard + replica) % s.size.Zones,
				id: topology.LeafID("l" + strconv.Itoa(index)), shard: s.shards[shard],
				boot: 1, coldReplies: warmAfter,
				times: serviceTime{rng: stream(seed, streamLeaves+uint64(index)), tail: s.scenario.Tail},
			})
		}
	}
}

func (s *sim) addSenders(seed uint64) {
	if s.policy.Baseline {
		for i := range senders {
			s.senders = append(s.senders, newSender(s, i))
		}
		return
	}
	for zone := range s.size.Zones {
		s.entries = append(s.entries, newEntry(s, zone, stream(seed, streamEntries+uint64(zone))))
	}
	for _, l := range s.leaves {
		s.byID[l.id] = newRelay(s, l)
	}
}

func (s *sim) relayOf(id topology.LeafID) *relay { return s.byID[id] }

func (s *sim) leavesOf(shard int) []*leaf {
	return s.leaves[shard*leavesPerShard : (shard+1)*leavesPerShard]
}

// nextArrival hands a query to a random VM and plans the next one. The load
// rises during the first half of the ramp.
func (s *sim) nextArrival() {
	class := &s.size.Main
	if s.arrivals.Float64() < s.scenario.SideShare {
		class = &s.size.Side
	}
	where := s.arrivals.Uint64()
	if s.policy.Baseline {
		s.senders[where%uint64(len(s.senders))].arrive(class)
	} else {
		s.entries[where%uint64(len(s.entries))].arrive(class)
	}
	gap := s.arrivals.ExpFloat64() / (s.scenario.Use * s.size.capacity() * s.ramp())
	s.After(time.Duration(gap*float64(time.Second)), s.nextArrival)
}

func (s *sim) ramp() float64 {
	return min(max(float64(s.Now)/float64(rampTime/2), rampStart), 1)
}

// rampStart is the share of the load at which a run begins.
const rampStart = 0.2

func (s *sim) conclude() {
	for _, l := range s.leaves {
		s.result.ColdViolations += l.violations
	}
	for _, e := range s.entries {
		s.result.OverBudget = max(s.result.OverBudget, e.spend.overBudget)
	}
	for _, r := range s.byID {
		if !r.facts.warm {
			s.result.NotWarm++
		}
	}
}
