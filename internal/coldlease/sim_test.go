package coldlease

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	ms         = time.Millisecond
	testTerm   = 2 * time.Second
	testLeaf   = topology.LeafID("leaf")
	testMargin = 500 * ms // Margin of all machines
)

// sim runs the relays of one zone and one cold leaf in virtual time. All
// randomness besides the drawn faults comes from rng, so a seed repeats a run.
type sim struct {
	eventloop.Loop
	fail     func(format string, args ...any)
	rng      *rand.Rand
	relays   []*relay
	lists    [][]topology.VMID
	cutUntil map[[2]topology.VMID]time.Duration
	lossRate float64
	slowRate float64
	maxDelay time.Duration
	runLimit time.Duration
	boots    topology.BootID

	evictions        []Eviction
	evictionsVersion uint64

	leafWallOffset time.Duration
	leafBoot       uint64
	replies        int
	running        map[string]bool

	starts, evictionCount, refusedLate int
}

func newSim(seed int64, fail func(string, ...any)) *sim {
	return &sim{
		fail: fail, rng: rand.New(rand.NewSource(seed)), leafBoot: 1, maxDelay: 20 * ms,
		cutUntil: map[[2]topology.VMID]time.Duration{}, running: map[string]bool{},
	}
}

// random returns a duration up to limit.
func (s *sim) random(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int63n(int64(limit) + 1))
}

func (s *sim) runUntil(end time.Duration) {
	for s.Next(end) {
		s.checkHolders()
	}
	s.RunUntil(end)
}

// checkHolders is stricter than the invariant: it also sees two holders that
// happen to send nothing.
func (s *sim) checkHolders() {
	holder := ""
	for _, r := range s.relays {
		if !r.alive {
			continue
		}
		if _, ok := r.machine.Held(r.clock(), testLeaf); !ok {
			continue
		}
		if holder != "" {
			s.fail("at %v %s and %s hold the lease", s.Now, holder, r.name())
		}
		holder = r.name()
	}
}

// addVM lists a VM and starts its relay.
func (s *sim) addVM(startIn time.Duration) *relay {
	r := &relay{s: s, vm: topology.VMID(fmt.Sprintf("vm-%02d", len(s.relays)))}
	s.relays = append(s.relays, r)
	var list []topology.VMID
	if len(s.lists) > 0 {
		list = s.lists[len(s.lists)-1]
	}
	s.lists = append(s.lists, append(slices.Clone(list), r.vm))
	r.listIndex = max(0, len(s.lists)-1-s.rng.Intn(3))
	s.After(startIn, r.start)
	return r
}

// dropVM removes a VM that is gone for good from the list.
func (s *sim) dropVM(vm topology.VMID) {
	list := slices.DeleteFunc(slices.Clone(s.lists[len(s.lists)-1]), func(id topology.VMID) bool { return id == vm })
	s.lists = append(s.lists, list)
}

// send delivers a message to whatever boot runs on a VM then.
func (s *sim) send(from, to topology.VMID, deliver func(r *relay)) {
	copies := 1
	if s.lossRate > 0 && s.rng.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if s.Now < s.cutUntil[[2]topology.VMID{from, to}] || s.rng.Float64() < s.lossRate {
			continue
		}
		delay := s.random(s.maxDelay)
		if s.rng.Float64() < s.slowRate {
			delay = s.random(5 * time.Second)
		}
		s.After(delay, func() {
			for _, r := range s.relays {
				if r.vm == to {
					r.whenRunning(r.boot, func() { deliver(r) })
				}
			}
		})
	}
}

// propose applies an eviction as a conditional update.
func (s *sim) propose(r *relay, p ProposeEviction) {
	s.After(s.random(time.Second), func() {
		if p.IfVersion != s.evictionsVersion {
			return
		}
		s.evictionsVersion++
		s.evictions = p.Evictions
		s.evictionCount++
		if s.rng.Intn(2) == 0 {
			r.whenRunning(r.boot, r.readStore)
		}
	})
}

// runInLeaf runs a request in the leaf, unless it comes after its start-by.
func (s *sim) runInLeaf(r *relay, boot topology.BootID, id uint64, startBy time.Duration) {
	if s.Now+s.leafWallOffset > startBy {
		s.refusedLate++
		r.whenRunning(boot, func() { r.finish(id, refusal()) })
		return
	}
	key := fmt.Sprint(r.vm, "/", boot, "/", id)
	started := s.Now
	s.starts++
	s.running[key] = true
	if len(s.running) > 1 {
		s.fail("at %v the cold leaf runs %d requests: %v", s.Now, len(s.running), s.running)
	}
	runTime := s.random(s.runLimit)
	if s.rng.Intn(3) == 0 {
		runTime = s.runLimit
	}
	s.After(runTime, func() {
		if !r.alive || r.boot != boot { // nobody cancels it
			s.After(started+s.runLimit-s.Now, func() { delete(s.running, key) })
			return
		}
		delete(s.running, key)
		s.replies++
		if s.replies%8 == 0 { // stays cold: restarts before the ramp goes on
			s.leafBoot++
		}
		if reply := s.reply(runTime); s.rng.Float64() >= s.lossRate {
			s.After(s.random(s.maxDelay), func() { r.whenRunning(boot, func() { r.finish(id, reply) }) })
		}
	})
}
