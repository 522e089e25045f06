package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Random number streams of a run. Arrivals and run times have separate streams,
// so that they are the same under all policies.
const (
	streamArrivals = iota
	streamNetwork
	streamEntries
	streamLeaves = 100
)

// sim holds the state of one run.
type sim struct {
	eventloop.Loop
	scenario Scenario
	size     Size
	policy   Policy
	result   *Result
	arrivals *rand.Rand

	network         *network
	shards          []topology.ShardID
	leaves          []*leaf
	relays          map[topology.LeafID]*relay
	entries         []*entry
	baselineEntries []*baselineEntry
	// zoneOutSince is when each availability zone was last taken out, or 0.
	zoneOutSince []time.Duration
}

// Run simulates a policy under a scenario and returns its measurements.
func Run(scenario Scenario, size Size, policy Policy, seed uint64) *Result {
	s := &sim{
		scenario: scenario, size: size, policy: policy,
		arrivals:     newRandomStream(seed, streamArrivals),
		relays:       make(map[topology.LeafID]*relay),
		zoneOutSince: make([]time.Duration, size.Zones),
		result: &Result{
			Scenario: scenario, Size: size, Policy: policy, Seed: seed,
			Main: newClassStats(), LowPriority: newClassStats(), Demotions: make(map[string]int),
		},
	}
	s.network = &network{
		loop: &s.Loop, rng: newRandomStream(seed, streamNetwork), interZoneDelay: size.InterZoneDelay,
		lossy: scenario.LossyLink, lastArrival: make(map[connectionDirection]time.Duration),
	}
	s.addLeaves(seed)
	s.addEntries(seed)
	if scenario.fault != nil {
		scenario.fault(s)
	}
	s.After(0, s.scheduleArrivals)
	s.RunUntil(rampTime + scenario.Length)
	s.collectTotals()
	return s.result
}

func newRandomStream(seed, number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }

// addLeaves adds the leaves of all shards. The leaves of a shard are in
// different availability zones.
func (s *sim) addLeaves(seed uint64) {
	for shard := range s.size.Shards {
		s.shards = append(s.shards, topology.ShardID("s"+strconv.Itoa(shard)))
		for replica := range leavesPerShard {
			index := len(s.leaves)
			s.leaves = append(s.leaves, &leaf{
				loop: &s.Loop, index: index, zone: (shard + replica) % s.size.Zones,
				id: topology.LeafID("l" + strconv.Itoa(index)), shard: s.shards[shard],
				boot: 1, coldReplies: warmAfterReplies,
				runTimes: serviceTime{rng: newRandomStream(seed, streamLeaves+uint64(index)), tailShare: s.scenario.TailShare},
			})
		}
	}
}

func (s *sim) addEntries(seed uint64) {
	if s.policy.Baseline {
		for i := range entryVMs {
			s.baselineEntries = append(s.baselineEntries, newBaselineEntry(s, i))
		}
		return
	}
	for zone := range s.size.Zones {
		s.entries = append(s.entries, newEntry(s, zone, newRandomStream(seed, streamEntries+uint64(zone))))
	}
	for _, l := range s.leaves {
		s.relays[l.id] = newRelay(s, l)
	}
}

func (s *sim) relayOf(id topology.LeafID) *relay { return s.relays[id] }

func (s *sim) leavesOf(shard int) []*leaf {
	return s.leaves[shard*leavesPerShard : (shard+1)*leavesPerShard]
}

// scheduleArrivals passes a query to a random VM and schedules the next arrival.
// The load rises during the first half of the ramp.
func (s *sim) scheduleArrivals() {
	class := &s.size.Main
	if s.arrivals.Float64() < s.scenario.LowPriorityShare {
		class = &s.size.LowPriority
	}
	target := s.arrivals.Uint64()
	if s.policy.Baseline {
		s.baselineEntries[target%uint64(len(s.baselineEntries))].arrive(class)
	} else {
		s.entries[target%uint64(len(s.entries))].arrive(class)
	}
	gap := s.arrivals.ExpFloat64() / (s.scenario.Utilization * s.size.capacity() * s.rampFactor())
	s.After(time.Duration(gap*float64(time.Second)), s.scheduleArrivals)
}

func (s *sim) rampFactor() float64 {
	return min(max(float64(s.Now)/float64(rampTime/2), rampStart), 1)
}

// rampStart is the share of the scenario's load at which a run starts.
const rampStart = 0.2

func (s *sim) collectTotals() {
	for _, l := range s.leaves {
		s.result.ColdViolations += l.coldViolations
	}
	for _, e := range s.entries {
		s.result.MaxBudgetExcess = max(s.result.MaxBudgetExcess, e.budget.maxExcess)
	}
	for _, r := range s.relays {
		if !r.status.warm {
			s.result.NotWarm++
		}
	}
}
