package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxReleaseSteps is the greatest number of groups in which leaves leave, one after the other.
const maxReleaseSteps = 3

// releaseTrouble happens beside a release.
type releaseTrouble struct {
	name string
	run  func(s *system, rnd *rand.Rand)
}

var releaseTroubles = []releaseTrouble{
	{"in calm", func(*system, *rand.Rand) {}},
	{"beside a paused seed", func(s *system, rnd *rand.Rand) {
		n := pickOne(rnd, s.seeds())
		defer s.history.beginFault("pause", n.name)()
		n.signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		n.signal(syscall.SIGCONT)
	}},
	{"beside a seed without the store", func(s *system, rnd *rand.Rand) {
		n := pickOne(rnd, s.seeds())
		defer s.history.beginFault("network to the store", n.name)()
		n.storePath.HoldNewConnections(true)
		n.storePath.Reset()
		time.Sleep(1300 * time.Millisecond)
		n.storePath.HoldNewConnections(false)
		n.storePath.Reset()
	}},
	// The store may cut watches at any time, so this is no fault.
	{"while watches are cut", func(s *system, _ *rand.Rand) {
		for range 5 {
			for _, n := range s.nodes {
				n.storePath.Reset()
			}
			time.Sleep(250 * time.Millisecond)
		}
	}},
}

// injectRelease removes, in half of the seeds, the entries of many leaves of a zone without a
// word. The leaves go on serving and are registered again later. It returns a description.
func (s *system) injectRelease(rnd *rand.Rand) string {
	if rnd.IntN(2) == 0 {
		return "no release"
	}
	at := time.Duration(rnd.Int64N(int64(faultPeriod)))
	zone, trouble := pickOne(rnd, []string{"a", "b"}), pickOne(rnd, releaseTroubles)
	steps := 1 + rnd.IntN(maxReleaseSteps)
	gap := time.Duration(rnd.Int64N(int64(800 * time.Millisecond)))
	troubleRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
	time.Sleep(at)
	var running sync.WaitGroup
	running.Go(func() { trouble.run(s, troubleRand) })
	time.Sleep(20 * time.Millisecond)
	for step := range steps {
		for i, l := range s.leaves {
			if l.Zone == zone && i/2%steps == step {
				running.Go(func() { s.removeForAWhile(l) })
			}
		}
		time.Sleep(gap)
	}
	running.Wait()
	return fmt.Sprintf("%5.2fs leaves of zone %s removed %s, in %d steps %s apart", at.Seconds(), zone, trouble.name, steps, gap.Round(time.Millisecond))
}

// removeForAWhile removes the entry of a leaf, unless the leaf is leaving already, and
// registers it again.
func (s *system) removeForAWhile(l *leaf) {
	if !l.leaving.TryLock() {
		return
	}
	defer l.leaving.Unlock()
	s.register(l, stateRemoved)
	from := time.Now()
	time.Sleep(drainBound + time.Second)
	s.history.update(func(h *history) { h.drains[l.ID] = append(h.drains[l.ID], fault{from: from, to: time.Now()}) })
	s.register(l, "ready")
}

// seeds returns the nodes that read the store for the others.
func (s *system) seeds() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return !strings.HasSuffix(n.name, "-big") })
}
