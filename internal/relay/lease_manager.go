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
	// worker requests a lease. idleEvictionsInterval applies otherwise; it is longer
	// since each read calls the store.
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
	// wake makes run recompute when the machine is due next.
	wake chan struct{}
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
	l := &leaseManager{
		proc: proc, send: send, wake: make(chan struct{}, 1),
		requested: make(map[topology.LeafID]*requestedLease),
	}
	l.restart()
	return l
}

// restart replaces the machine by a new one with a new boot ID and requests the
// same leases again. The caller holds mu, except in newLeaseManager.
func (l *leaseManager) restart() {
	l.boot = topology.BootID(rand.Uint64())
	l.machine = coldlease.New(coldlease.Config{
		Self: l.proc.Self.VM, Boot: l.boot, Term: leaseTerm, Margin: leaseMargin, StartedAt: l.proc.Now(),
	})
	if l.view.Version > 0 {
		l.machine.Step(l.proc.Now(), l.view)
	}
	for id, lease := range l.requested {
		l.machine.Step(l.proc.Now(), coldlease.Acquire{Leaf: id, RunLimit: lease.runLimit})
	}
}

// setVMs applies a VM list.
func (l *leaseManager) setVMs(v topology.VMView) {
	ev := coldlease.ViewChanged{Version: v.Version}
	for _, vm := range v.InZone(l.proc.Self.Zone) {
		ev.VMs = append(ev.VMs, vm.ID)
	}
	l.mu.Lock()
	l.view = ev
	l.mu.Unlock()
	l.step(ev)
}

// Acquire requests a leaf's lease and keeps it until Release. changed is called
// when the lease is gained or lost, and must not block.
func (l *leaseManager) Acquire(leaf topology.LeafID, runLimit time.Duration, changed func()) {
	l.mu.Lock()
	l.requested[leaf] = &requestedLease{runLimit: runLimit, onChange: changed}
	l.mu.Unlock()
	l.step(coldlease.Acquire{Leaf: leaf, RunLimit: runLimit})
}

// Release gives up a leaf's lease.
func (l *leaseManager) Release(leaf topology.LeafID) {
	l.mu.Lock()
	delete(l.requested, leaf)
	l.mu.Unlock()
	l.step(coldlease.Release{Leaf: leaf})
}

// Held reports whether the lease of a leaf is held.
func (l *leaseManager) Held(leaf topology.LeafID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.machine.Held(l.proc.Now(), leaf)
	return ok
}

// AuthorizeDispatch records that a request is about to be sent, and returns the
// latest start-by time that the lease allows, or 0 if the leaf needs no lease. It
// returns false if the lease is needed but not held; then the request must not be
// sent.
func (l *leaseManager) AuthorizeDispatch(leaf topology.LeafID, needsLease bool) (until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.proc.Now()
	if needsLease {
		if until, ok = l.machine.Held(now, leaf); !ok {
			return 0, false
		}
	}
	l.perform(l.machine.Step(now, coldlease.LeafRequestDispatched{Leaf: leaf}))
	return until, true
}

// LeafRequestFinished records that a request can no longer run in the leaf.
func (l *leaseManager) LeafRequestFinished(leaf topology.LeafID) {
	l.step(coldlease.LeafRequestFinished{Leaf: leaf})
}

// FinishedBy returns the time from which a request without a reply can no longer
// run in the leaf.
func (l *leaseManager) FinishedBy(startBy, runLimit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.FinishedBy(startBy, runLimit)
}

func (l *leaseManager) step(ev coldlease.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perform(l.machine.Step(l.proc.Now(), ev))
	if l.machine.Evicted() {
		l.proc.Events.Add(timeline.KindLease, "", string(l.proc.Self.VM), "evicted; starting over")
		l.restart()
	}
	l.notifyWorkers()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *leaseManager) perform(actions []coldlease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coldlease.SendRequest:
			l.send(a.To, wire.KindLeaseRequest, message.LeaseRequest{Boot: l.boot, Request: a.Request})
		case coldlease.SendAck:
			l.send(a.To, wire.KindLeaseAck, message.LeaseAck{Boot: l.boot, Ack: a.Ack})
		case coldlease.ProposeEviction:
			l.proc.Events.Add(timeline.KindLease, "", string(a.VM), "evict boot "+a.Boot.String())
			go l.callAgent(message.EvictionsCall{
				Zone: l.proc.Self.Zone, Replace: true, Evictions: a.Evictions, IfVersion: a.IfVersion,
			})
		}
	}
}

// notifyWorkers calls onChange of the leases that were gained or lost. The caller
// holds mu.
func (l *leaseManager) notifyWorkers() {
	now := l.proc.Now()
	for id, lease := range l.requested {
		if _, held := l.machine.Held(now, id); held != lease.held {
			lease.held = held
			l.proc.Events.Add(timeline.KindLease, "", string(id), map[bool]string{true: "held", false: "lost"}[held])
			lease.onChange()
		}
	}
}

// handleMessage passes a lease message of another relay to the machine.
func (l *leaseManager) handleMessage(p *wire.Peer, env *wire.Envelope) error {
	if env.Kind == wire.KindLeaseRequest {
		var m message.LeaseRequest
		if err := wire.DecodeBody(env, &m); err != nil {
			return err
		}
		l.step(coldlease.RequestReceived{From: p.Remote.VM, Boot: m.Boot, Request: m.Request})
		return nil
	}
	var m message.LeaseAck
	if err := wire.DecodeBody(env, &m); err != nil {
		return err
	}
	l.step(coldlease.AckReceived{From: p.Remote.VM, Boot: m.Boot, Ack: m.Ack})
	return nil
}

// run steps the machine when it is due and polls the evictions, until the context
// is cancelled.
func (l *leaseManager) run(ctx context.Context) {
	go l.pollEvictions(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.wake:
		case <-timer.C:
			l.step(coldlease.Tick{})
		case <-ctx.Done():
			return
		}
		timer.Reset(l.untilNextWake())
	}
}

func (l *leaseManager) untilNextWake() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.proc.Now()
	at, ok := l.machine.NextWake(now)
	if !ok {
		return time.Minute
	}
	return max(at-now, 0)
}
