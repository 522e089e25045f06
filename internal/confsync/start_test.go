package confsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a start that puts an old generation in force: before all
// peers have answered, or when one of them announced a newer one that is still
// on its way. Each row ends the wait by another condition.
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
		{"all answered with the old one", time.Second, HeartbeatReceived{From: "vm-2", Generation: 3}, 3},
		{"a newer one announced", time.Second, HeartbeatReceived{From: "vm-2", Generation: 4}, 0},
		{"a newer one offered", time.Second, ManifestReceived{From: "vm-2", Manifest: newest}, 4},
		{"one peer is silent", 1990 * time.Millisecond, Tick{}, 0},
		{"the wait is over", maxStartWait, Tick{}, 3},
		{"the store answered", time.Second, StoreRead{Manifest: newest, OK: true}, 4},
		{"the store is down", time.Second, StoreRead{}, 0},
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

// activatedGeneration returns the generation that a step activates, or 0.
func activatedGeneration(m *Machine, now time.Duration, ev Event) uint64 {
	for _, a := range m.Step(now, ev) {
		if a, ok := a.(Activate); ok {
			return a.Manifest.Generation
		}
	}
	return 0
}
