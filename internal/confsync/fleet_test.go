package confsync

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fleet runs machines in virtual time over a store and a network with faults.
type fleet struct {
	eventloop.Loop
	fail   func(format string, args ...any)
	rnd    *rand.Rand
	nodes  []*node
	store  fakeStore
	faults faults
}

type fakeStore struct {
	down, silent bool
	manifest     Manifest
	texts        map[textKey][]byte
	accepted     map[uint64]Manifest
	reads        int
}

// textKey names a section object of the store.
type textKey struct{ name, editID string }

// faults are shares of messages.
type faults struct{ loss, duplicate, corrupt, delay float64 }

type node struct {
	vm      topology.VM
	machine *Machine
	boot    int
	booted  time.Duration
	paused  time.Duration
	cut     bool
	watch   int
	inForce uint64
	fetched []FetchSection
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

// start boots a node, which knows the whole VM list.
func (f *fleet) start(n *node) {
	n.boot++
	n.booted, n.paused, n.inForce, n.watch, n.fetched = f.Now, 0, 0, n.watch+1, nil
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
	f.After(max(250*time.Millisecond, n.paused-f.Now), func() { f.tick(n, boot) })
}

// step delivers an event, after the pause of a paused node.
func (f *fleet) step(n *node, ev Event) {
	if n.paused > f.Now {
		boot := n.boot
		f.After(n.paused-f.Now, func() {
			if n.boot == boot {
				f.step(n, ev)
			}
		})
		return
	}
	for _, a := range n.machine.Step(f.Now-n.booted, ev) {
		f.act(n, a)
	}
}

func (f *fleet) act(n *node, a Action) {
	boot := n.boot
	switch a := a.(type) {
	case SendHeartbeat:
		f.send(n, a.To, HeartbeatReceived{From: n.vm.ID, Generation: a.Generation, StoreAge: a.StoreAge, Request: a.Request})
	case SendManifest:
		f.send(n, a.To, ManifestReceived{From: n.vm.ID, Manifest: a.Manifest})
	case FetchSection:
		n.fetched = append(n.fetched, a)
		f.fetch(n, a)
	case Activate:
		f.activated(n, a)
	case WatchStore:
		n.watch++
		if a.On {
			f.watch(n, n.watch, boot, 0, f.Now-time.Second)
		}
	case PollStore:
		f.After(5*time.Millisecond, func() { f.read(n, boot) })
	}
}

func (f *fleet) activated(n *node, a Activate) {
	if a.Manifest.Generation <= n.inForce {
		f.fail("%s at %v: generation %d in force falls to %d", n.vm.ID, f.Now, n.inForce, a.Manifest.Generation)
	}
	want := f.store.accepted[a.Manifest.Generation]
	for i, ref := range want.Sections {
		if len(a.Sections) != len(want.Sections) || a.Sections[i].Name != ref.Name || HashText(a.Sections[i].Text) != ref.Hash {
			f.fail("%s at %v: generation %d is activated with missing or wrong section %s", n.vm.ID, f.Now, a.Manifest.Generation, ref.Name)
			return
		}
	}
	f.After(10*time.Millisecond, func() {
		f.step(n, ActivationResult{Generation: a.Manifest.Generation, OK: true})
		if n.machine.ActiveGeneration() < n.inForce {
			f.fail("%s at %v: generation %d in force falls to %d", n.vm.ID, f.Now, n.inForce, n.machine.ActiveGeneration())
		}
		n.inForce = n.machine.ActiveGeneration()
	})
}
