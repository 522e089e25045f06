package confsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a starting agent that activates an old generation before all peers
// have answered, or while it still lacks the newer manifest that one announced.
// Each row tests another condition that ends the wait or doesn't.
func TestStartWaitsForTheHighest(t *testing.T) {
	f := convergedFleet(t, 3)
	f.edit("index.a")
	old, newest := f.store.accepted[3], f.store.accepted[4]
	step := func(m *Machine, now time.Duration, ev Event) uint64 {
		var activated uint64
		for _, a := range m.Step(now, ev) {
			switch a := a.(type) {
			case Activate:
				activated = a.Manifest.Generation
			case FetchSection:
				text := f.store.texts[textKey{a.Name, a.EditID}]
				activated = max(activated, activatedGeneration(m, now, SectionReceived{Name: a.Name, EditID: a.EditID, Text: text}))
			}
		}
		return activated
	}
	rows := []struct {
		name string
		at   time.Duration
		ev   Event
		want uint64
	}{
		{"all peers announce the old generation", time.Second, HeartbeatReceived{From: "vm-2", Generation: 3}, 3},
		{"a peer announces a newer generation", time.Second, HeartbeatReceived{From: "vm-2", Generation: 4}, 0},
		{"a peer sends a newer manifest", time.Second, ManifestReceived{From: "vm-2", Manifest: newest}, 4},
		{"one peer has not answered", 1990 * time.Millisecond, Tick{}, 0},
		{"the wait has timed out", maxStartWait, Tick{}, 3},
		{"the store was read", time.Second, StoreRead{Manifest: newest, OK: true}, 4},
		{"the store read failed", time.Second, StoreRead{}, 0},
	}
	for _, row := range rows {
		m := New(topology.VM{ID: "vm-0", Zone: "z0"}, rand.New(rand.NewPCG(1, 1)))
		for _, id := range []topology.VMID{"vm-1", "vm-2"} {
			assert.Equal(t, step(m, 0, PeerJoined{VM: topology.VM{ID: id, Zone: "z0"}}), uint64(0))
		}
		assert.Equal(t, step(m, time.Millisecond, ManifestReceived{From: "vm-1", Manifest: old}), uint64(0), row.name)
		assert.Equal(t, step(m, row.at, row.ev), row.want, row.name)
	}
}

// activatedGeneration passes an event to Step and returns the generation that is
// activated, or 0.
func activatedGeneration(m *Machine, now time.Duration, ev Event) uint64 {
	for _, a := range m.Step(now, ev) {
		if a, ok := a.(Activate); ok {
			return a.Manifest.Generation
		}
	}
	return 0
}
