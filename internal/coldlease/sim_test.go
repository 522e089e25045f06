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
	testMargin = 500 * ms // Config.Margin of all machines
)

// sim runs the relays of one zone and one cold leaf in virtual time. All
// randomness besides the drawn faults comes from rng, so that a seed reproduces a
// run.
type sim struct {
	eventloop.Loop
	fail             func(format string, args ...any)
	rng              *rand.Rand
	relays           []*relay
	lists            [][]topology.VMID
	partitionedUntil map[[2]topology.VMID]time.Duration
	lossRate         float64
	slowRate         float64
	maxDelay         time.Duration
	runLimit         time.Duration
	boots            topology.BootID

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
		partitionedUntil: map[[2]topology.VMID]time.Duration{}, running: map[string]bool{},
	}
}

// random returns a random duration between 0 and limit.
func (s *sim) random(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int63n(int64(limit) + 1))
}

func (s *sim) runUntil(end time.Duration) {
	for s.RunNext(end) {
		s.checkHolders()
	}
	s.RunUntil(end)
}

// checkHolders fails if two relays hold the lease. This is stricter than the check
// of running requests, since a holder may happen to send none.
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

// addVM adds a VM to the list and starts its relay after a delay.
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

// dropVM removes a VM that has stopped permanently from the list.
func (s *sim) dropVM(vm topology.VMID) {
	list := slices.DeleteFunc(slices.Clone(s.lists[len(s.lists)-1]), func(id topology.VMID) bool { return id == vm })
	s.lists = append(s.lists, list)
}

// send delivers a message to the boot that runs on a VM at the time of delivery.
// The message may be lost, delayed or duplicated.
func (s *sim) send(from, to topology.VMID, deliver func(r *relay)) {
	copies := 1
	if s.lossRate > 0 && s.rng.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if s.Now < s.partitionedUntil[[2]topology.VMID{from, to}] || s.rng.Float64() < s.lossRate {
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

// propose applies an eviction as a conditional update of the store object.
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

// runInLeaf runs a request in the leaf, or refuses it if it arrives after its
// start-by time.
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
		if !r.alive || r.boot != boot { // no relay cancels it, so it runs up to the limit
			s.After(started+s.runLimit-s.Now, func() { delete(s.running, key) })
			return
		}
		delete(s.running, key)
		s.replies++
		if s.replies%8 == 0 { // the leaf stays cold: it restarts before the ramp continues
			s.leafBoot++
		}
		if reply := s.reply(runTime); s.rng.Float64() >= s.lossRate {
			s.After(s.random(s.maxDelay), func() { r.whenRunning(boot, func() { r.finish(id, reply) }) })
		}
	})
}
