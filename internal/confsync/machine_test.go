package confsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// convergedFleet returns a fleet in one zone whose active generation is 3 on all
// VMs.
func convergedFleet(t *testing.T, vms int) *fleet {
	f := newFleet(t.Fatalf, 7, vms, 1)
	for _, section := range []string{"zones", "index.a", "index.b"} {
		f.edit(section)
	}
	f.startAll()
	f.RunUntil(5 * time.Second)
	assert.NilError(t, f.checkConverged())
	return f
}

func watcherIDs(f *fleet) map[topology.VMID]bool {
	ids := map[topology.VMID]bool{}
	for _, vm := range f.nodes[0].machine.watchers() {
		ids[vm.ID] = true
	}
	return ids
}

// Guards against VMs that fetch unchanged sections after an edit, and against more
// than two watchers per zone.
func TestOnlyChangedSectionsAreFetched(t *testing.T) {
	f := convergedFleet(t, 6)
	for _, n := range f.nodes {
		n.fetched = nil
	}
	f.edit("index.a")
	f.RunUntil(f.Now + time.Second)
	assert.NilError(t, f.checkConverged())
	watching := 0
	for _, n := range f.nodes {
		assert.Equal(t, len(n.fetched), 1, "%s: %v", n.vm.ID, n.fetched)
		assert.Equal(t, n.fetched[0].Name, "index.a")
		if n.machine.store.watching {
			watching++
			assert.Assert(t, watcherIDs(f)[n.vm.ID])
		}
	}
	assert.Equal(t, watching, 2)
}

// Guards against a zone that misses an edit because both its watchers are dead but
// still in the VM list, while the live peers exchange heartbeats.
func TestOthersPollWhenAllWatchersAreDead(t *testing.T) {
	f := convergedFleet(t, 5)
	dead := watcherIDs(f)
	for _, n := range f.nodes {
		if n.partitioned = dead[n.vm.ID]; n.partitioned {
			n.pausedUntil = time.Hour
		}
	}
	f.edit("index.a")
	f.RunUntil(f.Now + convergenceTimeout)
	for _, n := range f.nodes {
		if !dead[n.vm.ID] {
			assert.Equal(t, n.machine.ActiveGeneration(), uint64(4), "%s", n.vm.ID)
		}
	}
}

// Guards against an accepted edit that doesn't reach the fleet because the store
// goes down after a single watcher has read it.
func TestStoreDownRightAfterAcceptance(t *testing.T) {
	f := convergedFleet(t, 6)
	f.edit("index.a")
	for until := f.Now + time.Second; f.Now < until; f.RunUntil(f.Now + time.Millisecond) {
		for _, n := range f.nodes {
			if n.machine.CompleteManifest().Generation == 4 {
				f.store.down = true
			}
		}
	}
	assert.Assert(t, f.store.down)
	assert.NilError(t, f.checkConverged())
}

// Guards against a restarted VM that activates the first generation it receives
// while the store is down and most of its peers have an old generation.
func TestRestartDuringOutageBesideStalePeers(t *testing.T) {
	f := convergedFleet(t, 6)
	stale := convergedFleet(t, 6)
	f.edit("index.a")
	f.RunUntil(f.Now + 2*time.Second)
	f.store.down = true
	for _, i := range []int{1, 2, 3, 4} {
		f.nodes[i].machine.complete = stale.nodes[i].machine.complete
		f.nodes[i].activeGeneration, f.nodes[i].machine.activeGeneration = 3, 3
	}
	f.start(f.nodes[0])
	for until := f.Now + convergenceTimeout; f.Now < until; f.RunUntil(f.Now + time.Millisecond) {
		g := f.nodes[0].machine.CompleteManifest().Generation
		assert.Assert(t, g == 0 || g == 4, "generation %d", g)
	}
	assert.NilError(t, f.checkConverged())
}

// Guards against a VM that resumes from a pause with an old generation, announces
// it to its peers and keeps it.
func TestPausedVMWakesWithAnOldGeneration(t *testing.T) {
	f := convergedFleet(t, 4)
	n := f.nodes[2]
	n.pausedUntil = f.Now + 5*time.Second
	f.edit("index.a")
	f.RunUntil(f.Now + 4900*time.Millisecond)
	f.edit("index.b")
	f.RunUntil(n.pausedUntil + time.Second)
	assert.NilError(t, f.checkConverged())
}

// Guards against agents that read an unavailable store without backoff, and
// against watches that don't restart when it recovers.
func TestOutageBacksOff(t *testing.T) {
	f := convergedFleet(t, 6)
	f.store.down = true
	polls := 0
	for _, n := range f.nodes {
		n.fetched = nil
	}
	before := f.store.reads
	f.RunUntil(f.Now + time.Minute)
	polls = f.store.reads - before
	// Four VMs poll every 4 to 8 s, after shorter intervals at the beginning.
	assert.Assert(t, polls > 20 && polls < 4*20, "%d polls", polls)
	f.store.down = false
	f.edit("index.a")
	f.RunUntil(f.Now + convergenceTimeout)
	assert.NilError(t, f.checkConverged())
}

// Guards against a target that an older, repeated or invalid manifest replaces, and
// against activation without all sections.
func TestManifestsOutOfOrder(t *testing.T) {
	f := convergedFleet(t, 3)
	for _, section := range []string{"index.a", "index.b", "index.a"} {
		f.edit(section)
	}
	m, now := f.nodes[0].machine, f.Now+time.Second
	accepted := f.store.accepted
	invalid := Manifest{Generation: 9, Sections: []SectionRef{{Name: "b"}, {Name: "a"}}}
	rows := []struct {
		ev      Event
		fetches []string
		offers  uint64
	}{
		{ManifestReceived{From: "vm-1", Manifest: accepted[5]}, []string{"edit-4", "edit-5"}, 0},
		{ManifestReceived{From: "vm-1", Manifest: accepted[5]}, nil, 0},
		{ManifestReceived{From: "vm-2", Manifest: accepted[4]}, nil, 0},
		{ManifestReceived{From: "vm-2", Manifest: accepted[2]}, nil, 3},
		{ManifestReceived{From: "vm-2", Manifest: invalid}, nil, 0},
		{ManifestReceived{From: "vm-2", Manifest: accepted[6]}, []string{"edit-6"}, 0},
		{StoreRead{Manifest: accepted[3], OK: true}, nil, 0},
		{StoreRead{Manifest: accepted[5], OK: true}, nil, 0},
	}
	for i, row := range rows {
		var fetches []string
		offered := uint64(0)
		for _, a := range m.Step(now, row.ev) {
			switch a := a.(type) {
			case FetchSection:
				fetches = append(fetches, a.EditID)
			case SendManifest:
				offered = a.Manifest.Generation
			case Activate:
				t.Fatalf("row %d activates generation %d without its sections", i, a.Manifest.Generation)
			}
		}
		assert.DeepEqual(t, fetches, row.fetches)
		assert.Equal(t, offered, row.offers, "row %d", i)
	}
	assert.Equal(t, m.CompleteManifest().Generation, uint64(3))
}

// Guards against a generation that failed the check but counts as active.
func TestFailedCheckIsNotActive(t *testing.T) {
	f := convergedFleet(t, 3)
	m := f.nodes[0].machine
	m.Step(f.Now, ActivationResult{Generation: 3, OK: false})
	m.Step(f.Now, ActivationResult{Generation: 2, OK: true})
	m.Step(f.Now, ActivationResult{Generation: 8, OK: true})
	assert.Equal(t, m.ActiveGeneration(), uint64(3))
	n := New(topology.VM{ID: "vm"}, rand.New(rand.NewPCG(1, 1)))
	n.complete.Generation = 2
	n.Step(0, ActivationResult{Generation: 2, OK: false})
	assert.Equal(t, n.ActiveGeneration(), uint64(0))
}

// Guards against a manifest that changes when it is encoded and decoded, and
// against decoding an invalid one.
func TestManifestEncoding(t *testing.T) {
	f := convergedFleet(t, 3)
	m := f.store.manifest
	m.Sections[0].Hash = 1<<64 - 1
	text, err := m.Encode()
	assert.NilError(t, err)
	got, err := DecodeManifest(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
	_, err = DecodeManifest([]byte(`{"generation":4,"sections":[{"name":"b","hash":1}]}`))
	assert.ErrorContains(t, err, "decode manifest")
	_, err = DecodeManifest([]byte(`{"generation":4,"sections":[{"name":"b","hash":"1"},{"name":"a","hash":"1"}]}`))
	assert.ErrorContains(t, err, "ascending order")
}
