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
	// probeInterval is the time between probes, which request the leaf's report.
	// A probe also tests the most recently used connection.
	probeInterval = time.Second
	// maxIdleSleep bounds how long a worker sleeps when nothing is due.
	maxIdleSleep = time.Second
)

// coldLeases grants the permission to send requests to cold leaves. It is
// implemented by leaseManager.
type coldLeases interface {
	Acquire(leaf topology.LeafID, runLimit time.Duration, changed func())
	Release(leaf topology.LeafID)
	Held(leaf topology.LeafID) bool
	AuthorizeDispatch(leaf topology.LeafID, needsLease bool) (until time.Duration, ok bool)
	LeafRequestFinished(leaf topology.LeafID)
	FinishedBy(startBy, runLimit time.Duration) time.Duration
}

// leafWorker is the shell of the decision packages for one leaf: it queues the
// leaf's requests and sends them. Only the goroutine in run uses the fields after
// status, from queue on.
type leafWorker struct {
	proc     *telemetry.Process
	leaf     *topology.Leaf
	runLimit time.Duration
	slots    int
	client   *leafClient
	leases   coldLeases
	// mayAccept is false after a pause of the process until the agent has confirmed the
	// configuration. Requests that were queued before the pause are refused then.
	mayAccept func() bool
	publish   func(message.LeafStatus)
	inbox     chan workerEvent
	metrics   *relayMetrics
	// postMu guards stopped, so that no event is left in an inbox that is no
	// longer read.
	postMu  sync.RWMutex
	stopped bool
	status  atomic.Pointer[medlarv1.LeafStatus]

	queue    *leafqueue.Queue
	tracker  *warmup.Tracker
	requests map[uint64]*leafRequest
	running  map[uint64]context.CancelFunc
	// unusedSlots holds the IDs of requests that were given a slot by the queue
	// and then refused, so that their slots have to be released.
	unusedSlots []uint64
	probing     bool
	lastProbe   time.Duration
	// reportOutdated is true if a result showed that the leaf no longer serves a
	// snapshot that its last report names. It makes a probe due.
	reportOutdated bool
	// reported holds the fields that come from the leaf's last report.
	reported  message.LeafStatus
	published message.LeafStatus
	// peerStatuses holds the last status of the leaf that each other relay sent.
	peerStatuses   map[topology.VMID]peerLeafStatus
	leaseRequested bool
	serving        bool
	retiring       bool
	// inService is false while the leaf's zone is out of service.
	inService bool
	// closeReason is the reason for which the queue is closed, or "" if it is
	// open.
	closeReason errs.Reason
}

func newLeafWorker(proc *telemetry.Process, leaf *topology.Leaf, index *topology.Index, connections int, l coldLeases, mayAccept func() bool, publish func(message.LeafStatus)) *leafWorker {
	w := &leafWorker{
		metrics: newRelayMetrics(proc.Metrics),
		proc:    proc, leaf: leaf, runLimit: index.RunLimit, slots: max(index.Slots, 1), leases: l, mayAccept: mayAccept, publish: publish,
		inbox:        make(chan workerEvent, inboxSize),
		queue:        leafqueue.New(leafqueue.Config{MaxQueued: maxQueued}),
		tracker:      warmup.New(warmup.Config{Slots: index.Slots}),
		requests:     make(map[uint64]*leafRequest),
		running:      make(map[uint64]context.CancelFunc),
		peerStatuses: make(map[topology.VMID]peerLeafStatus),
		inService:    true,
	}
	w.client = newLeafClient(leaf, connections, func(closed uint64) { w.post(connectionClosed{closed: closed}) })
	return w
}

// post puts an event into the inbox. It returns false if the inbox is full or the
// worker has stopped.
func (w *leafWorker) post(ev workerEvent) bool {
	w.postMu.RLock()
	defer w.postMu.RUnlock()
	if w.stopped {
		return false
	}
	select {
	case w.inbox <- ev:
		return true
	default:
		return false
	}
}

// run handles events until the context is cancelled or the worker is retired and its
// last request has completed.
func (w *leafWorker) run(ctx context.Context) {
	defer w.client.close()
	defer w.leases.Release(w.leaf.ID)
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
		if w.retiring && len(w.requests) == 0 && w.tryStop() {
			return
		}
		w.answerUnresponsive(w.proc.Now())
		w.probeIfDue(ctx)
		w.publishIfChanged()
		w.updateStatus()
		timer.Reset(w.untilNextWake())
	}
}

func (w *leafWorker) hasStopped() bool {
	w.postMu.RLock()
	defer w.postMu.RUnlock()
	return w.stopped
}

// tryStop makes post reject further events, unless the inbox still holds one. It
// reports whether the worker has stopped.
func (w *leafWorker) tryStop() bool {
	w.postMu.Lock()
	defer w.postMu.Unlock()
	if len(w.inbox) > 0 {
		return false
	}
	w.stopped = true
	return true
}

func (w *leafWorker) handle(ctx context.Context, ev workerEvent) {
	switch ev := ev.(type) {
	case requestReceived:
		w.handleRequest(ctx, ev.request)
	case requestCancelled:
		w.step(ctx, leafqueue.Cancel{ID: ev.id})
	case requestCompleted:
		w.handleResult(ctx, ev)
	case slotReleased:
		w.step(ctx, leafqueue.ReleaseSlot{ID: ev.id})
	case probeCompleted:
		w.handleProbe(ev)
		w.step(ctx, leafqueue.Tick{})
	case connectionClosed:
		w.recordTransitions(w.tracker.Step(w.proc.Now(), warmup.ConnectionClosed{ClosedCount: ev.closed}))
		w.step(ctx, leafqueue.Tick{})
	case zoneState:
		w.inService = ev.inService
		w.step(ctx, leafqueue.Tick{})
	case servingState:
		w.serving = ev.serving
		w.step(ctx, leafqueue.Tick{})
	case retired:
		w.retiring = true
		w.step(ctx, leafqueue.Tick{})
	case leaseChanged:
		w.step(ctx, leafqueue.Tick{})
	case peerLeafStatus:
		w.applyPeerStatus(ev)
		w.step(ctx, leafqueue.Tick{})
	}
}

// step applies an event to the queue under the current limit.
func (w *leafWorker) step(ctx context.Context, ev leafqueue.Event) {
	now := w.proc.Now()
	w.detectRestart(now, ev)
	w.updateLease()
	w.openOrCloseQueue(ctx, now)
	w.perform(ctx, w.queue.Step(now, w.limit(now)))
	w.perform(ctx, w.queue.Step(now, ev))
	for len(w.unusedSlots) > 0 {
		id := w.unusedSlots[0]
		w.unusedSlots = w.unusedSlots[1:]
		w.perform(ctx, w.queue.Step(now, leafqueue.ReleaseSlot{ID: id}))
	}
}

// detectRestart tells the tracker of closed connections before requests are
// dispatched to a warm leaf. The event connectionClosed can be in the inbox behind
// the requests, or not yet there; the leaf may be cold again by then.
func (w *leafWorker) detectRestart(now time.Duration, ev leafqueue.Event) {
	_, isAdd := ev.(leafqueue.Add)
	if w.tracker.State() != warmup.Warm || (!isAdd && w.queue.Queued() == 0) {
		return
	}
	w.recordTransitions(w.tracker.Step(now, warmup.ConnectionClosed{ClosedCount: w.client.closedByLeaf()}))
}

// openOrCloseQueue closes the queue while the leaf can get no requests, so that
// they are refused at once and can move to another leaf, and opens it afterwards.
func (w *leafWorker) openOrCloseQueue(ctx context.Context, now time.Duration) {
	reason := w.refusalReason()
	if reason == w.closeReason {
		return
	}
	w.closeReason = reason
	if reason == "" {
		w.perform(ctx, w.queue.Step(now, leafqueue.Open{}))
		return
	}
	w.perform(ctx, w.queue.Step(now, leafqueue.Close{Reason: reason}))
}

// refusalReason returns why the leaf can get no requests now, or "" if it can.
func (w *leafWorker) refusalReason() errs.Reason {
	switch state := w.tracker.State(); {
	case w.retiring:
		return errs.ReasonNotOwner
	case !w.inService:
		return errs.ReasonZoneOut
	case state == warmup.Down:
		return errs.ReasonDown
	case state == warmup.Leaving:
		return errs.ReasonLeaving
	case w.tracker.NeedsLease() && !w.leases.Held(w.leaf.ID):
		return errs.ReasonCold
	case w.tracker.OnProbation() && w.queue.Running() >= w.tracker.Limit(w.proc.Now()).InFlight:
		// All slots are taken by requests that may never complete, so a queued
		// request could wait until its deadline.
		return errs.ReasonNoReply
	default:
		return ""
	}
}

// limit returns the current limit as an event for the queue.
func (w *leafWorker) limit(now time.Duration) leafqueue.SetLimit {
	l := w.tracker.Limit(now)
	typical, _ := w.tracker.EffectiveBaseline()
	return leafqueue.SetLimit{InFlight: l.InFlight, NotBefore: l.NotBefore, TypicalRunTime: typical}
}

// updateLease requests the lease while the leaf needs one and this relay serves
// it, and releases the lease otherwise.
func (w *leafWorker) updateLease() {
	want := w.serving && w.inService && !w.retiring && w.tracker.NeedsLease()
	if want == w.leaseRequested {
		return
	}
	w.leaseRequested = want
	if want {
		w.leases.Acquire(w.leaf.ID, w.runLimit, func() { w.post(leaseChanged{}) })
		return
	}
	w.leases.Release(w.leaf.ID)
}

func (w *leafWorker) perform(ctx context.Context, actions []leafqueue.Action) {
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

// abort cancels a running request. In a leaf that is not warm the request
// continues: its reply counts for the warm-up, and its slot would be held until
// its run limit anyway.
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
	w.metrics.countRefusal(a.Reason)
	err := errs.New(errs.StepRelayQueue, string(w.leaf.ID), a.Reason, true, "refused by the leaf's queue")
	w.proc.Events.Add(timeline.KindRefusal, req.message.RequestID, string(w.leaf.ID), string(a.Reason))
	req.answer(failureReply(req, err))
}

func (w *leafWorker) untilNextWake() time.Duration {
	now := w.proc.Now()
	wake := now + maxIdleSleep
	if at, ok := w.queue.NextWake(now); ok {
		wake = min(wake, at)
	}
	if at, ok := w.tracker.UnresponsiveFrom(); ok && at > now {
		wake = min(wake, at)
	}
	return max(wake-now, 0)
}

func failureReply(req *leafRequest, err *errs.Error) *message.LeafReply {
	return &message.LeafReply{
		Leaf: req.message.Leaf, Shard: req.shard,
		Failure: message.NewFailure(err, err.Step, err.Peer),
	}
}
