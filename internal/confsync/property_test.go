package confsync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	faultTime = 20 * time.Second
	// settleTime is the bound of section 1.7 of the design page.
	settleTime = 6 * time.Second
)

// Guards against a generation that falls, that is put in force incomplete, or
// that some VM never gets, under loss, duplication, delay, corruption, pauses,
// restarts, cut-off VMs, flapping VM lists and store outages.
func TestGenerationsRiseAndSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(3, 6).Draw(rt, "vms")
		f := newFleet(rt.Fatalf, rapid.Uint64().Draw(rt, "seed"), vms, rapid.IntRange(1, 3).Draw(rt, "zones"))
		share := rapid.Float64Range(0, 0.4)
		f.faults = faults{loss: share.Draw(rt, "loss"), duplicate: share.Draw(rt, "duplicate"),
			corrupt: share.Draw(rt, "corrupt"), delay: share.Draw(rt, "delay")}
		f.edit("zones")
		f.startAll()
		for range rapid.IntRange(0, 25).Draw(rt, "faults") {
			drawFault(rt, f)
		}
		f.RunUntil(faultTime)
		f.heal()
		f.RunUntil(faultTime + settleTime)
		if err := f.converged(); err != nil {
			rt.Fatal(err)
		}
	})
}

func drawFault(rt *rapid.T, f *fleet) {
	at := time.Duration(rapid.IntRange(0, int(faultTime/time.Millisecond)-1).Draw(rt, "at ms")) * time.Millisecond
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "vm")]
	other := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "other")]
	length := time.Duration(rapid.IntRange(100, 8000).Draw(rt, "length ms")) * time.Millisecond
	kind := rapid.SampledFrom([]string{"edit", "edit", "edit", "pause", "restart", "outage", "silent", "cut", "flap"}).Draw(rt, "kind")
	f.After(at, func() {
		switch kind {
		case "edit":
			f.edit(fmt.Sprintf("index.%d", f.rnd.IntN(4)))
		case "pause":
			n.paused = min(f.Now+length, faultTime)
		case "restart":
			f.start(n)
		case "outage", "silent":
			f.store.down, f.store.silent = true, kind == "silent"
			f.After(length, func() { f.store.down = false })
		case "cut":
			n.cut = true
			f.After(length, func() { n.cut = false })
		case "flap":
			f.step(n, PeerLeft{VM: other.vm.ID})
			f.After(length, func() { f.step(n, PeerJoined{VM: other.vm}) })
		}
	})
}

// heal ends all faults. Messages in flight still arrive.
func (f *fleet) heal() {
	f.faults, f.store.down, f.store.silent = faults{}, false, false
	for _, n := range f.nodes {
		n.cut = false
		for _, other := range f.nodes {
			f.step(n, PeerJoined{VM: other.vm})
		}
	}
}
