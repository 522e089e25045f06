package confsync

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fleet runs machines in virtual time with a fake store and a fake network that
// inject faults.
type fleet struct {
	eventloop.Loop
	fail   func(format string, args ...any)
	rnd    *rand.Rand
	nodes  []*node
	store  fakeStore
	faults faults
}

type fakeStore struct {
	// down makes reads fail, or get no reply if the store is also unresponsive.
	down, unresponsive bool
	manifest           Manifest
	texts              map[textKey][]byte
	accepted           map[uint64]Manifest
	reads              int
}

// textKey identifies a section version in the store.
type textKey struct{ name, editID string }

// faults are the probabilities of network faults per message.
type faults struct{ loss, duplicate, corrupt, delay float64 }

type node struct {
	vm               topology.VM
	machine          *Machine
	boot             int
	bootedAt         time.Duration
	pausedUntil      time.Duration
	partitioned      bool
	watchID          int
	activeGeneration uint64
	fetched          []FetchSection
}

func newFleet(fail func(string, ...any), seed uint64, vms, zones int) *fleet {
	f := &fleet{fail: fail, rnd: rand.New(rand.NewPCG(seed, 1))}
	f.store.texts, f.store.accepted = map[textKey][]byte{}, map[uint64]Manifest{}
	for i := range vms {
		f.nodes = append(f.nodes, &node{vm: topology.VM{
			ID: topology.VMID(fmt.Sprintf("vm-%d", i)), Zone: topology.Zone(fmt.Sprintf("z%d", i%zones)),
		}})
	}
	return f
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		f.start(n)
	}
}

// start boots or restarts a node and passes it the whole VM list.
func (f *fleet) start(n *node) {
	n.boot++
	n.bootedAt, n.pausedUntil, n.activeGeneration, n.watchID, n.fetched = f.Now, 0, 0, n.watchID+1, nil
	n.machine = New(n.vm, rand.New(rand.NewPCG(f.rnd.Uint64(), 2)))
	for _, other := range f.nodes {
		f.step(n, PeerJoined{VM: other.vm})
	}
	f.tick(n, n.boot)
}

func (f *fleet) tick(n *node, boot int) {
	if n.boot != boot {
		return
	}
	f.step(n, Tick{})
	f.After(max(250*time.Millisecond, n.pausedUntil-f.Now), func() { f.tick(n, boot) })
}

// step passes an event to a node, or postpones it to the end of the node's pause.
func (f *fleet) step(n *node, ev Event) {
	if n.pausedUntil > f.Now {
		boot := n.boot
		f.After(n.pausedUntil-f.Now, func() {
			if n.boot == boot {
				f.step(n, ev)
			}
		})
		return
	}
	for _, a := range n.machine.Step(f.Now-n.bootedAt, ev) {
		f.execute(n, a)
	}
}

func (f *fleet) execute(n *node, a Action) {
	boot := n.boot
	switch a := a.(type) {
	case SendHeartbeat:
		f.transmit(n, a.To, HeartbeatReceived{From: n.vm.ID, Generation: a.Generation, StoreAge: a.StoreAge, Request: a.Request})
	case SendManifest:
		f.transmit(n, a.To, ManifestReceived{From: n.vm.ID, Manifest: a.Manifest})
	case FetchSection:
		n.fetched = append(n.fetched, a)
		f.fetch(n, a)
	case Activate:
		f.checkActivation(n, a)
	case WatchStore:
		n.watchID++
		if a.On {
			f.watch(n, n.watchID, boot, 0, f.Now-time.Second)
		}
	case PollStore:
		f.After(5*time.Millisecond, func() { f.read(n, boot) })
	}
}

func (f *fleet) checkActivation(n *node, a Activate) {
	if a.Manifest.Generation <= n.activeGeneration {
		f.fail("%s at %v: active generation %d decreases to %d", n.vm.ID, f.Now, n.activeGeneration, a.Manifest.Generation)
	}
	want := f.store.accepted[a.Manifest.Generation]
	for i, ref := range want.Sections {
		if len(a.Sections) != len(want.Sections) || a.Sections[i].Name != ref.Name || HashText(a.Sections[i].Text) != ref.Hash {
			f.fail("%s at %v: generation %d is activated with a missing or wrong section %s", n.vm.ID, f.Now, a.Manifest.Generation, ref.Name)
			return
		}
	}
	f.After(10*time.Millisecond, func() {
		f.step(n, ActivationResult{Generation: a.Manifest.Generation, OK: true})
		if n.machine.ActiveGeneration() < n.activeGeneration {
			f.fail("%s at %v: active generation %d decreases to %d", n.vm.ID, f.Now, n.activeGeneration, n.machine.ActiveGeneration())
		}
		n.activeGeneration = n.machine.ActiveGeneration()
	})
}
