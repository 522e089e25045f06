package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

const (
	inboxSize = 1024
	maxQueued = 64
	// probeInterval is how often a leaf is asked for its report. The answer
	// also tests the connection that was used last.
	probeInterval = time.Second
	// idleWake bounds how long a worker sleeps when nothing is due.
	idleWake = time.Second
)

// leases is the right to send to cold leaves; leaseKeeper implements it.
type leases interface {
	Want(leaf topology.LeafID, runLimit time.Duration, changed func())
	Unwant(leaf topology.LeafID)
	Held(leaf topology.LeafID) bool
	Dispatch(leaf topology.LeafID, needsLease bool) (until time.Duration, ok bool)
	Ended(leaf topology.LeafID)
	GoneBy(startBy, runLimit time.Duration) time.Duration
}

// leafWorker holds the decisions for one leaf. All fields below inbox belong
// to the goroutine that runs it.
type leafWorker struct {
	proc     *telemetry.Process
	leaf     *topology.Leaf
	runLimit time.Duration
	slots    int
	client   *leafClient
	leases   leases
	publish  func(message.LeafStatus)
	inbox    chan workerEvent
	metrics  *relayMetrics
	// postMu guards gone, so that no event is left in an inbox that nobody
	// reads.
	postMu sync.RWMutex
	gone   bool
	status atomic.Pointer[medlarv1.LeafStatus]

	queue    *leafqueue.Queue
	tracker  *warmup.Tracker
	requests map[uint64]*leafRequest
	running  map[uint64]context.CancelFunc
	// unused holds requests that have a slot and were not sent after all.
	unused    []uint64
	probing   bool
	lastProbe time.Duration
	// outdated is true when a leaf no longer serves what its report says.
	outdated bool
	facts    message.LeafStatus
	told     message.LeafStatus
	// peerSaid holds the last facts of each other relay.
	peerSaid map[topology.VMID]peerFacts
	wanted   bool
	serving  bool
	retiring bool
	// open is false while the zone is out.
	open bool
	// closedFor is why the queue is closed, or "".
	closedFor errs.Reason
}

func newLeafWorker(proc *telemetry.Process, leaf *topology.Leaf, index *topology.Index, connections int, l leases, publish func(message.LeafStatus)) *leafWorker {
	w := &leafWorker{
		metrics: newRelayMetrics(proc.Metrics),
		proc:    proc, leaf: leaf, runLimit: index.RunLimit, slots: max(index.Slots, 1), leases: l, publish: publish,
		inbox:    make(chan workerEvent, inboxSize),
		queue:    leafqueue.New(leafqueue.Config{MaxQueued: maxQueued}),
		tracker:  warmup.New(warmup.Config{Slots: index.Slots}),
		requests: make(map[uint64]*leafRequest),
		running:  make(map[uint64]context.CancelFunc),
		peerSaid: make(map[topology.VMID]peerFacts),
		open:     true,
	}
	w.client = newLeafClient(leaf, connections, func(closed uint64) { w.post(connectionClosed{closed: closed}) })
	return w
}

// post hands an event to the worker and reports whether there was room. A
// worker that has ended takes none.
func (w *leafWorker) post(ev workerEvent) bool {
	w.postMu.RLock()
	defer w.postMu.RUnlock()
	if w.gone {
		return false
	}
	select {
	case w.inbox <- ev:
		return true
	default:
		return false
	}
}

// run handles events until the context is done.
func (w *leafWorker) run(ctx context.Context) {
	defer w.client.close()
	defer w.leases.Unwant(w.leaf.ID)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case ev := <-w.inbox:
			w.handle(ctx, ev)
		case <-timer.C:
			w.step(ctx, leafqueue.Tick{})
		case <-ctx.Done():
			return
		}
		if w.retiring && len(w.requests) == 0 && w.end() {
			return
		}
		w.answerTrials(w.proc.Now())
		w.probeIfDue(ctx)
		w.tell()
		w.storeStatus()
		timer.Reset(w.nextWake())
	}
}

func (w *leafWorker) hasEnded() bool {
	w.postMu.RLock()
	defer w.postMu.RUnlock()
	return w.gone
}

// end closes the inbox of a retired worker unless an event has come meanwhile.
func (w *leafWorker) end() bool {
	w.postMu.Lock()
	defer w.postMu.Unlock()
	if len(w.inbox) > 0 {
		return false
	}
	w.gone = true
	return true
}

func (w *leafWorker) handle(ctx context.Context, ev workerEvent) {
	switch ev := ev.(type) {
	case requestArrived:
		w.arrived(ctx, ev.request)
	case requestCancelled:
		w.step(ctx, leafqueue.Cancel{ID: ev.id})
	case requestEnded:
		w.ended(ctx, ev)
	case slotFreed:
		w.step(ctx, leafqueue.ReleaseSlot{ID: ev.id})
	case probeEnded:
		w.probed(ev)
		w.step(ctx, leafqueue.Tick{})
	case connectionClosed:
		w.transitions(w.tracker.Step(w.proc.Now(), warmup.ConnectionClosed{ClosedCount: ev.closed}))
		w.step(ctx, leafqueue.Tick{})
	case accepting:
		w.open = ev.inService
		w.step(ctx, leafqueue.Tick{})
	case ranked:
		w.serving = ev.serving
		w.step(ctx, leafqueue.Tick{})
	case retired:
		w.retiring = true
		w.step(ctx, leafqueue.Tick{})
	case leaseChanged:
		w.step(ctx, leafqueue.Tick{})
	case peerFacts:
		w.inherit(ev)
		w.step(ctx, leafqueue.Tick{})
	}
}

// step applies an event to the queue under the limit that holds now.
func (w *leafWorker) step(ctx context.Context, ev leafqueue.Event) {
	now := w.proc.Now()
	w.wantLease()
	w.applyGate(ctx, now)
	w.apply(ctx, w.queue.Step(now, w.limit(now)))
	w.apply(ctx, w.queue.Step(now, ev))
	for len(w.unused) > 0 {
		id := w.unused[0]
		w.unused = w.unused[1:]
		w.apply(ctx, w.queue.Step(now, leafqueue.ReleaseSlot{ID: id}))
	}
}

// applyGate closes the queue while the leaf can get no work, so that requests
// are refused at once and can move to another leaf, and opens it again.
func (w *leafWorker) applyGate(ctx context.Context, now time.Duration) {
	reason := w.unusable()
	if reason == w.closedFor {
		return
	}
	w.closedFor = reason
	if reason == "" {
		w.apply(ctx, w.queue.Step(now, leafqueue.Open{}))
		return
	}
	w.apply(ctx, w.queue.Step(now, leafqueue.Close{Reason: reason}))
}

// unusable returns why the leaf can get no work now, or "".
func (w *leafWorker) unusable() errs.Reason {
	switch state := w.tracker.State(); {
	case w.retiring:
		return errs.ReasonNotOwner
	case !w.open:
		return errs.ReasonZoneOut
	case state == warmup.Down:
		return errs.ReasonDown
	case state == warmup.Leaving:
		return errs.ReasonLeaving
	case w.tracker.NeedsLease() && !w.leases.Held(w.leaf.ID):
		return errs.ReasonCold
	case w.tracker.OnProbation() && w.queue.Running() >= w.tracker.Limit(w.proc.Now()).InFlight:
		// What waits behind a request that may never end would wait in vain.
		return errs.ReasonNoReply
	default:
		return ""
	}
}

// limit is what the leaf may get now.
func (w *leafWorker) limit(now time.Duration) leafqueue.SetLimit {
	l := w.tracker.Limit(now)
	typical, _ := w.tracker.EffectiveBaseline()
	return leafqueue.SetLimit{InFlight: l.InFlight, NotBefore: l.NotBefore, TypicalRunTime: typical}
}

// wantLease asks for the lease while the leaf needs one and takes work.
func (w *leafWorker) wantLease() {
	want := w.serving && w.open && !w.retiring && w.tracker.NeedsLease()
	if want == w.wanted {
		return
	}
	w.wanted = want
	if want {
		w.leases.Want(w.leaf.ID, w.runLimit, func() { w.post(leaseChanged{}) })
		return
	}
	w.leases.Unwant(w.leaf.ID)
}

func (w *leafWorker) apply(ctx context.Context, actions []leafqueue.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case leafqueue.Dispatch:
			w.dispatch(ctx, a.ID)
		case leafqueue.Refuse:
			w.refuse(a)
		case leafqueue.Abort:
			w.abort(a.ID)
		}
	}
}

// abort cancels a request that runs. In a leaf that is not warm it goes on: its
// reply counts for the warm-up, and its slot would be held until its run limit
// anyway.
func (w *leafWorker) abort(id uint64) {
	cancel, ok := w.running[id]
	if ok && !w.tracker.NeedsLease() {
		cancel()
	}
}

func (w *leafWorker) refuse(a leafqueue.Refuse) {
	req, ok := w.requests[a.ID]
	if !ok {
		return
	}
	delete(w.requests, a.ID)
	w.metrics.refused(a.Reason)
	err := errs.New(errs.StepRelayQueue, string(w.leaf.ID), a.Reason, true, "refused by the leaf's queue")
	w.proc.Events.Add(timeline.KindRefusal, req.message.RequestID, string(w.leaf.ID), string(a.Reason))
	req.answer(failedReply(req, err))
}

func (w *leafWorker) nextWake() time.Duration {
	now := w.proc.Now()
	wake := now + idleWake
	if at, ok := w.queue.NextWake(now); ok {
		wake = min(wake, at)
	}
	if at, ok := w.tracker.UnresponsiveFrom(); ok && at > now {
		wake = min(wake, at)
	}
	return max(wake-now, 0)
}

func failedReply(req *leafRequest, err *errs.Error) *message.LeafReply {
	return &message.LeafReply{
		Leaf: req.message.Leaf, Shard: req.shard,
		Failure: message.NewFailure(err, err.Step, err.Peer),
	}
}
