package coldlease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fault is one drawn fault of a run.
type fault struct {
	At       time.Duration
	Kind     string
	Relay    int
	Other    int
	Duration time.Duration
}

var faultKinds = []string{"pause", "restart", "replace", "cut", "isolate", "want", "unwant", "addVM"}

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
	case "cut":
		s.cutLink(r.vm, other.vm, f.Duration)
	case "isolate":
		for _, o := range s.relays {
			s.cutLink(r.vm, o.vm, f.Duration)
		}
	case "want", "unwant":
		r.whenRunning(r.boot, func() { r.setWanted(f.Kind == "want") })
	case "addVM":
		if len(s.lists[len(s.lists)-1]) < 4 {
			s.addVM(f.Duration / 4).wanted = true
		}
	}
}

// replace ends a VM for good; the list may drop it at once.
func (s *sim) replace(r *relay, d time.Duration) {
	if r.gone {
		return
	}
	r.alive, r.gone = false, true
	s.After(s.random(d/4), func() { s.dropVM(r.vm) })
	s.After(s.random(d/2), func() { s.addVM(s.random(d / 4)).wanted = r.wanted })
}

func (s *sim) cutLink(a, b topology.VMID, d time.Duration) {
	for _, pair := range [][2]topology.VMID{{a, b}, {b, a}} {
		s.cutUntil[pair] = max(s.cutUntil[pair], s.Now+d)
	}
}

// Guards against two requests in a cold leaf that bears one, under clock
// errors, lagging lists, lost, late and repeated messages, pauses, restarts,
// replaced VMs, partitions and evictions.
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
			s.addVM(s.random(time.Second)).wanted = i < 2
		}
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 0, 16).Draw(t, "faults") {
			s.After(f.At, func() { s.inject(f) })
		}
		s.runUntil(60 * time.Second)
		starts, evicted, late, runs = starts+s.starts, evicted+s.evictionCount, late+s.refusedLate, runs+1
	})
	t.Logf("%d runs, %d requests started, %d refused after start-by, %d evictions", runs, starts, late, evicted)
	assert.Assert(t, t.Failed() || starts > 5*runs, "too few requests to show anything")
}

// Guards against a wanted leaf that stays without a holder: all relays are up
// and connected, and any number of them ask at the same time.
func TestWantedLeafGetsItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64().Draw(t, "seed"), t.Fatalf)
		s.runLimit = time.Duration(rapid.IntRange(50, 10000).Draw(t, "runLimitMS")) * ms
		s.maxDelay = time.Duration(rapid.IntRange(0, 200).Draw(t, "maxDelayMS")) * ms
		n := rapid.IntRange(1, 4).Draw(t, "relays")
		wanting := rapid.IntRange(1, n).Draw(t, "wanting")
		for i := range n {
			s.addVM(0).wanted = i < wanting
		}
		for _, r := range s.relays {
			r.listIndex = n - 1 // all start with the newest list
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
