package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	// leaseTerm is how long an acknowledgement is valid.
	leaseTerm = 2 * time.Second
	// leaseMargin compensates for clocks that run at different rates.
	leaseMargin = 500 * time.Millisecond
	// activeEvictionsInterval is the time between reads of the evictions while a
	// worker requests a lease, and idleEvictionsInterval the time otherwise. It is
	// longer since each read calls the store.
	activeEvictionsInterval = 2 * time.Second
	idleEvictionsInterval   = 30 * time.Second
)

// agentCaller calls the agent of the VM.
type agentCaller interface {
	Call(ctx context.Context, kind wire.Kind, body, answer any) error
}

// leaseManager owns the relay's coldlease.Machine: it serializes the calls of the
// machine, sends its messages and notifies workers when a lease is gained or
// lost. It is safe for concurrent use.
type leaseManager struct {
	proc  *telemetry.Process
	agent agentCaller
	wake  chan struct{}
	// send sends a message to another relay of the zone, or drops it.
	send func(to topology.VMID, kind wire.Kind, body any)

	mu        sync.Mutex
	boot      topology.BootID
	machine   *coldlease.Machine
	view      coldlease.ViewChanged
	requested map[topology.LeafID]*requestedLease
}

// requestedLease is a lease that a worker has requested with Acquire.
type requestedLease struct {
	runLimit time.Duration
	held     bool
	onChange func()
}

func newLeaseManager(proc *telemetry.Process, send func(topology.VMID, wire.Kind, any)) *leaseManager {
	k := &leaseManager{
		proc: proc, send: send, wake: make(chan struct{}, 1),
		requested: make(map[topology.LeafID]*requestedLease),
	}
	k.restart()
	return k
}

// restart replaces the machine by a new one with a new boot ID and requests the
// same leases again. The caller holds mu, except in newLeaseManager.
func (k *leaseManager) restart() {
	k.boot = topology.BootID(rand.Uint64())
	k.machine = coldlease.New(coldlease.Config{
		Self: k.proc.Self.VM, Boot: k.boot, Term: leaseTerm, Margin: leaseMargin, StartedAt: k.proc.Now(),
	})
	if k.view.Version > 0 {
		k.machine.Step(k.proc.Now(), k.view)
	}
	for id, w := range k.requested {
		k.machine.Step(k.proc.Now(), coldlease.Acquire{Leaf: id, RunLimit: w.runLimit})
	}
}

// setVMs applies a VM list.
func (k *leaseManager) setVMs(v topology.VMView) {
	ev := coldlease.ViewChanged{Version: v.Version}
	for _, vm := range v.InZone(k.proc.Self.Zone) {
		ev.VMs = append(ev.VMs, vm.ID)
	}
	k.mu.Lock()
	k.view = ev
	k.mu.Unlock()
	k.step(ev)
}

// Acquire requests a leaf's lease until Release. changed is called when the lease
// is gained or lost, and must not block.
func (k *leaseManager) Acquire(leaf topology.LeafID, runLimit time.Duration, changed func()) {
	k.mu.Lock()
	k.requested[leaf] = &requestedLease{runLimit: runLimit, onChange: changed}
	k.mu.Unlock()
	k.step(coldlease.Acquire{Leaf: leaf, RunLimit: runLimit})
}

// Release gives up a leaf's lease.
func (k *leaseManager) Release(leaf topology.LeafID) {
	k.mu.Lock()
	delete(k.requested, leaf)
	k.mu.Unlock()
	k.step(coldlease.Release{Leaf: leaf})
}

// Held reports whether the lease of a leaf is held.
func (k *leaseManager) Held(leaf topology.LeafID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.machine.Held(k.proc.Now(), leaf)
	return ok
}

// AuthorizeDispatch records that a request is about to be sent, and returns the
// latest start-by time that the lease allows, or 0 if the leaf needs no lease. It
// returns false if the lease is needed and not held; the request must not be sent
// then.
func (k *leaseManager) AuthorizeDispatch(leaf topology.LeafID, needsLease bool) (until time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.proc.Now()
	if needsLease {
		if until, ok = k.machine.Held(now, leaf); !ok {
			return 0, false
		}
	}
	k.perform(k.machine.Step(now, coldlease.LeafRequestDispatched{Leaf: leaf}))
	return until, true
}

// LeafRequestFinished records that a request can no longer run in the leaf.
func (k *leaseManager) LeafRequestFinished(leaf topology.LeafID) {
	k.step(coldlease.LeafRequestFinished{Leaf: leaf})
}

// FinishedBy returns the time from which a request without a reply can no longer
// run in the leaf.
func (k *leaseManager) FinishedBy(startBy, runLimit time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.FinishedBy(startBy, runLimit)
}

func (k *leaseManager) step(ev coldlease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.perform(k.machine.Step(k.proc.Now(), ev))
	if k.machine.Evicted() {
		k.proc.Events.Add(timeline.KindLease, "", string(k.proc.Self.VM), "evicted; starting over")
		k.restart()
	}
	k.notifyWorkers()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *leaseManager) perform(actions []coldlease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coldlease.SendRequest:
			k.send(a.To, wire.KindLeaseRequest, message.LeaseRequest{Boot: k.boot, Request: a.Request})
		case coldlease.SendAck:
			k.send(a.To, wire.KindLeaseAck, message.LeaseAck{Boot: k.boot, Ack: a.Ack})
		case coldlease.ProposeEviction:
			k.proc.Events.Add(timeline.KindLease, "", string(a.VM), "evict boot "+a.Boot.String())
			go k.callAgent(message.EvictionsCall{
				Zone: k.proc.Self.Zone, Replace: true, Evictions: a.Evictions, IfVersion: a.IfVersion,
			})
		}
	}
}

// notifyWorkers calls onChange of the leases that were gained or lost. The caller
// holds mu.
func (k *leaseManager) notifyWorkers() {
	now := k.proc.Now()
	for id, w := range k.requested {
		if _, held := k.machine.Held(now, id); held != w.held {
			w.held = held
			k.proc.Events.Add(timeline.KindLease, "", string(id), map[bool]string{true: "held", false: "lost"}[held])
			w.onChange()
		}
	}
}

// handleMessage passes a lease message of another relay to the machine.
func (k *leaseManager) handleMessage(p *wire.Peer, env *wire.Envelope) error {
	if env.Kind == wire.KindLeaseRequest {
		var m message.LeaseRequest
		if err := wire.DecodeBody(env, &m); err != nil {
			return err
		}
		k.step(coldlease.RequestReceived{From: p.Remote.VM, Boot: m.Boot, Request: m.Request})
		return nil
	}
	var m message.LeaseAck
	if err := wire.DecodeBody(env, &m); err != nil {
		return err
	}
	k.step(coldlease.AckReceived{From: p.Remote.VM, Boot: m.Boot, Ack: m.Ack})
	return nil
}

// run steps the machine when it is due and polls the evictions, until the context
// is done.
func (k *leaseManager) run(ctx context.Context) {
	go k.pollEvictions(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-k.wake:
		case <-timer.C:
			k.step(coldlease.Tick{})
		case <-ctx.Done():
			return
		}
		timer.Reset(k.untilNextWake())
	}
}

func (k *leaseManager) untilNextWake() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.proc.Now()
	at, ok := k.machine.NextWake(now)
	if !ok {
		return time.Minute
	}
	return max(at-now, 0)
}
