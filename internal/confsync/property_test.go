package confsync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	faultDuration = 20 * time.Second
	// convergenceTimeout is the limit that section 1.7 of the design page sets.
	convergenceTimeout = 6 * time.Second
)

// Guards against an active generation that decreases, that is activated
// incomplete, or that some VM never receives, under loss, duplication, delay,
// corruption, pauses, restarts, partitioned VMs, flapping VM lists and store
// outages.
func TestGenerationsRiseAndSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(3, 6).Draw(rt, "vms")
		f := newFleet(rt.Fatalf, rapid.Uint64().Draw(rt, "seed"), vms, rapid.IntRange(1, 3).Draw(rt, "zones"))
		probability := rapid.Float64Range(0, 0.4)
		f.faults = faults{loss: probability.Draw(rt, "loss"), duplicate: probability.Draw(rt, "duplicate"),
			corrupt: probability.Draw(rt, "corrupt"), delay: probability.Draw(rt, "delay")}
		f.edit("zones")
		f.startAll()
		for range rapid.IntRange(0, 25).Draw(rt, "faults") {
			injectRandomFault(rt, f)
		}
		f.RunUntil(faultDuration)
		f.heal()
		f.RunUntil(faultDuration + convergenceTimeout)
		if err := f.checkConverged(); err != nil {
			rt.Fatal(err)
		}
	})
}

func injectRandomFault(rt *rapid.T, f *fleet) {
	at := time.Duration(rapid.IntRange(0, int(faultDuration/time.Millisecond)-1).Draw(rt, "at ms")) * time.Millisecond
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "vm")]
	other := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "other")]
	length := time.Duration(rapid.IntRange(100, 8000).Draw(rt, "length ms")) * time.Millisecond
	kind := rapid.SampledFrom([]string{"edit", "edit", "edit", "pause", "restart", "outage", "unresponsive store", "partition", "flap"}).Draw(rt, "kind")
	f.After(at, func() {
		switch kind {
		case "edit":
			f.edit(fmt.Sprintf("index.%d", f.rnd.IntN(4)))
		case "pause":
			n.pausedUntil = min(f.Now+length, faultDuration)
		case "restart":
			f.start(n)
		case "outage", "unresponsive store":
			f.store.down, f.store.unresponsive = true, kind == "unresponsive store"
			f.After(length, func() { f.store.down = false })
		case "partition":
			n.partitioned = true
			f.After(length, func() { n.partitioned = false })
		case "flap":
			f.step(n, PeerLeft{VM: other.vm.ID})
			f.After(length, func() { f.step(n, PeerJoined{VM: other.vm}) })
		}
	})
}

// heal stops all faults. Messages in flight are still delivered.
func (f *fleet) heal() {
	f.faults, f.store.down, f.store.unresponsive = faults{}, false, false
	for _, n := range f.nodes {
		n.partitioned = false
		for _, other := range f.nodes {
			f.step(n, PeerJoined{VM: other.vm})
		}
	}
}
