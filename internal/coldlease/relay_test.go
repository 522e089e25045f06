package coldlease

import (
	"fmt"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// relay is one VM of the simulation. It runs the machines of coldlease, warmup
// and leafqueue, and observes the rules for the shell in the package comment.
type relay struct {
	s           *sim
	vm          topology.VMID
	boot        topology.BootID
	alive       bool
	acquiring   bool
	removed     bool
	pausedUntil time.Duration
	startedAt   time.Duration
	clockOffset time.Duration
	clockRate   float64
	wallOffset  time.Duration
	listIndex   int
	machine     *Machine
	tracker     *warmup.Tracker
	queue       *leafqueue.Queue
	nextID      uint64
	unfinished  map[uint64]bool
	wakeAt      time.Duration
}

func refusal() warmup.Event { return warmup.Refused{} }
func (s *sim) reply(d time.Duration) warmup.Event {
	return warmup.Replied{Latency: d, Boot: s.leafBoot}
}
func (r *relay) name() string { return fmt.Sprint(r.vm, "/", r.boot) }

// clock returns the time on the monotonic clock of the process.
func (r *relay) clock() time.Duration {
	return r.clockOffset + time.Duration(float64(r.s.Now-r.startedAt)*r.clockRate)
}

// atClock runs f when the clock of the process reaches a time, unless the boot no
// longer runs then.
func (r *relay) atClock(clock time.Duration, f func()) {
	boot := r.boot
	d := time.Duration(float64(clock-r.clock())/r.clockRate) + time.Microsecond
	r.s.After(max(d, 0), func() { r.whenRunning(boot, f) })
}

// whenRunning runs f now, or after the current pause, if the boot still runs
// then.
func (r *relay) whenRunning(boot topology.BootID, f func()) {
	switch {
	case !r.alive || r.boot != boot:
	case r.s.Now < r.pausedUntil:
		r.s.After(r.pausedUntil-r.s.Now, func() { r.whenRunning(boot, f) })
	default:
		f()
	}
}

func (r *relay) start() {
	if r.removed || r.alive {
		return
	}
	r.s.boots++
	r.alive, r.boot, r.startedAt, r.pausedUntil = true, r.s.boots, r.s.Now, 0
	r.clockOffset = r.s.random(time.Hour)
	r.clockRate = 0.99 + 0.02*r.s.rng.Float64()
	r.wallOffset = r.s.random(498*ms) - 249*ms
	r.machine = New(Config{Self: r.vm, Boot: r.boot, Term: testTerm, Margin: testMargin, StartedAt: r.clock()})
	r.tracker = warmup.New(warmup.Config{Slots: 1})
	r.queue = leafqueue.New(leafqueue.Config{MaxQueued: 2})
	r.unfinished, r.wakeAt = map[uint64]bool{}, 0
	r.readList()
	r.readStore()
	if r.acquiring {
		r.step(Acquire{Leaf: testLeaf, RunLimit: r.s.runLimit})
	}
}

func (r *relay) setAcquiring(acquiring bool) {
	r.acquiring = acquiring
	if !acquiring {
		r.step(Release{Leaf: testLeaf})
		return
	}
	r.step(Acquire{Leaf: testLeaf, RunLimit: r.s.runLimit})
}

// readList reads a random version of the VM list that is not older than the last
// one read, and schedules the next read.
func (r *relay) readList() {
	r.listIndex += r.s.rng.Intn(len(r.s.lists) - r.listIndex)
	r.step(ViewChanged{Version: uint64(r.listIndex + 1), VMs: r.s.lists[r.listIndex]})
	r.atClock(r.clock()+r.s.random(2*time.Second), r.readList)
}

func (r *relay) readStore() {
	r.step(EvictionsRead{Evictions: r.s.evictions, Version: r.s.evictionsVersion})
	if r.machine.Evicted() {
		r.alive = false
		r.s.After(0, r.start)
		return
	}
	r.atClock(r.clock()+r.s.random(2*time.Second), r.readStore)
}

func (r *relay) step(ev Event) {
	for _, a := range r.machine.Step(r.clock(), ev) {
		switch a := a.(type) {
		case SendRequest:
			ev := RequestReceived{From: r.vm, Boot: r.boot, Request: a.Request}
			r.s.send(r.vm, a.To, func(to *relay) { to.step(ev) })
		case SendAck:
			ev := AckReceived{From: r.vm, Boot: r.boot, Ack: a.Ack}
			r.s.send(r.vm, a.To, func(to *relay) { to.step(ev) })
		case ProposeEviction:
			r.s.propose(r, a)
		}
	}
	r.fillQueue()
	r.scheduleWake()
}

// fillQueue keeps requests queued, so that a request is sent whenever the lease
// allows it.
func (r *relay) fillQueue() {
	r.queueStep(leafqueue.Tick{})
	for r.acquiring && r.queue.Queued() < 2 {
		r.nextID++
		r.queueStep(leafqueue.Add{ID: r.nextID, StartBy: r.clock() + 5*time.Second})
	}
}

// queueStep updates the limit of the queue before it passes an event, as the shell
// has to.
func (r *relay) queueStep(ev leafqueue.Event) {
	for _, e := range []leafqueue.Event{r.limit(), ev} {
		for _, a := range r.queue.Step(r.clock(), e) {
			if d, ok := a.(leafqueue.Dispatch); ok {
				r.dispatch(d.ID)
			}
		}
	}
}

func (r *relay) limit() leafqueue.SetLimit {
	if _, ok := r.machine.Held(r.clock(), testLeaf); !ok {
		return leafqueue.SetLimit{}
	}
	l := r.tracker.Limit(r.clock())
	return leafqueue.SetLimit{InFlight: l.InFlight, NotBefore: l.NotBefore}
}

// dispatch sends a request to the leaf. The process may be paused between the
// check of the lease and the write.
func (r *relay) dispatch(id uint64) {
	boot, now := r.boot, r.clock()
	startBy, _ := r.machine.Held(now, testLeaf)
	r.machine.Step(now, LeafRequestDispatched{Leaf: testLeaf})
	r.tracker.Step(now, warmup.Dispatched{})
	r.unfinished[id] = true
	wallStartBy := r.s.Now + r.wallOffset + startBy - now
	write := r.s.random(r.s.maxDelay)
	if r.s.slowRate > 0 && r.s.rng.Intn(8) == 0 {
		write = r.s.random(4 * time.Second)
		if r.s.rng.Intn(2) == 0 {
			r.pausedUntil = r.s.Now + write
		}
	}
	r.s.After(write, func() { r.s.runInLeaf(r, boot, id, wallStartBy) })
	r.atClock(r.machine.FinishedBy(startBy, r.s.runLimit), func() { r.finish(id, warmup.TimedOut{}) })
}

func (r *relay) finish(id uint64, outcome warmup.Event) {
	if !r.unfinished[id] {
		return
	}
	delete(r.unfinished, id)
	r.tracker.Step(r.clock(), outcome)
	r.machine.Step(r.clock(), LeafRequestFinished{Leaf: testLeaf})
	r.queueStep(leafqueue.ReleaseSlot{ID: id})
	r.step(Tick{})
}

// scheduleWake sets a timer for the next time at which the machine or the queue
// has to be stepped.
func (r *relay) scheduleWake() {
	wake, ok := r.machine.NextWake(r.clock())
	if q, more := r.queue.NextWake(r.clock()); more && (!ok || q < wake) {
		wake, ok = q, true
	}
	if !ok || wake == r.wakeAt {
		return
	}
	r.wakeAt = wake
	r.atClock(wake, func() {
		if r.wakeAt == wake {
			r.wakeAt = 0
			r.step(Tick{})
		}
	})
}
