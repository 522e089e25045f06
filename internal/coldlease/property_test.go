package coldlease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fault is a randomly drawn fault or change that a run injects.
type fault struct {
	At       time.Duration
	Kind     string
	Relay    int
	Other    int
	Duration time.Duration
}

var faultKinds = []string{"pause", "restart", "replace", "partition", "isolate", "acquire", "release", "addVM"}

func drawFault(t *rapid.T) fault {
	return fault{
		At:       time.Duration(rapid.IntRange(0, 50_000).Draw(t, "at")) * ms,
		Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		Relay:    rapid.IntRange(0, 3).Draw(t, "relay"),
		Other:    rapid.IntRange(0, 3).Draw(t, "other"),
		Duration: time.Duration(rapid.IntRange(0, 15_000).Draw(t, "for")) * ms,
	}
}

func (s *sim) inject(f fault) {
	r, other := s.relays[f.Relay%len(s.relays)], s.relays[f.Other%len(s.relays)]
	switch f.Kind {
	case "pause":
		r.pausedUntil = max(r.pausedUntil, s.Now+f.Duration)
	case "restart":
		r.alive = false
		s.After(f.Duration/2, r.start)
	case "replace":
		s.replace(r, f.Duration)
	case "partition":
		s.partition(r.vm, other.vm, f.Duration)
	case "isolate":
		for _, o := range s.relays {
			s.partition(r.vm, o.vm, f.Duration)
		}
	case "acquire", "release":
		r.whenRunning(r.boot, func() { r.setAcquiring(f.Kind == "acquire") })
	case "addVM":
		if len(s.lists[len(s.lists)-1]) < 4 {
			s.addVM(f.Duration / 4).acquiring = true
		}
	}
}

// replace stops a VM permanently and adds a new one. The VM list may drop the old
// one at once.
func (s *sim) replace(r *relay, d time.Duration) {
	if r.removed {
		return
	}
	r.alive, r.removed = false, true
	s.After(s.random(d/4), func() { s.dropVM(r.vm) })
	s.After(s.random(d/2), func() { s.addVM(s.random(d / 4)).acquiring = r.acquiring })
}

func (s *sim) partition(a, b topology.VMID, d time.Duration) {
	for _, pair := range [][2]topology.VMID{{a, b}, {b, a}} {
		s.partitionedUntil[pair] = max(s.partitionedUntil[pair], s.Now+d)
	}
}

// Guards against two requests that run at the same time in a cold leaf, which can
// process only one. Covers clock errors, outdated VM lists, lost, delayed and
// duplicated messages, pauses, restarts, replaced VMs, partitions and evictions.
func TestColdLeafRunsOneRequest(t *testing.T) {
	var starts, evicted, late, runs int
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64().Draw(t, "seed"), t.Fatalf)
		s.lossRate = float64(rapid.IntRange(0, 30).Draw(t, "lossPercent")) / 100
		s.slowRate = float64(rapid.IntRange(0, 20).Draw(t, "slowPercent")) / 100
		s.runLimit = time.Duration(rapid.IntRange(50, 3000).Draw(t, "runLimitMS")) * ms
		s.leafWallOffset = s.random(498*ms) - 249*ms
		first := rapid.IntRange(1, 4).Draw(t, "relays")
		for i := range first {
			s.addVM(s.random(time.Second)).acquiring = i < 2
		}
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 0, 16).Draw(t, "faults") {
			s.After(f.At, func() { s.inject(f) })
		}
		s.runUntil(60 * time.Second)
		starts, evicted, late, runs = starts+s.starts, evicted+s.evictionCount, late+s.refusedLate, runs+1
	})
	t.Logf("%d runs, %d requests started, %d refused after their start-by time, %d evictions", runs, starts, late, evicted)
	assert.Assert(t, t.Failed() || starts > 5*runs, "too few requests started for a meaningful check")
}

// Guards against a lease that no relay gets although all relays run and are
// connected, when any number of them request it at the same time.
func TestWantedLeafGetsItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64().Draw(t, "seed"), t.Fatalf)
		s.runLimit = time.Duration(rapid.IntRange(50, 10000).Draw(t, "runLimitMS")) * ms
		s.maxDelay = time.Duration(rapid.IntRange(0, 200).Draw(t, "maxDelayMS")) * ms
		n := rapid.IntRange(1, 4).Draw(t, "relays")
		acquiring := rapid.IntRange(1, n).Draw(t, "acquiring")
		for i := range n {
			s.addVM(0).acquiring = i < acquiring
		}
		for _, r := range s.relays {
			r.listIndex = n - 1 // all relays start with the newest list
		}
		fence := Config{Term: testTerm, Margin: testMargin}.fence(s.runLimit)
		s.runUntil(fence + 3*time.Second)
		held := 0
		for _, r := range s.relays {
			if _, ok := r.machine.Held(r.clock(), testLeaf); ok {
				held++
			}
		}
		assert.Equal(t, held, 1, "holders after %v", s.Now)
	})
}
