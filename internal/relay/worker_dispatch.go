package relay

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// repostInterval is the pause between attempts to post an event that must not be
// lost to a full inbox.
const repostInterval = 10 * time.Millisecond

// dispatch sends a request to the leaf. A request that needs the lease has to
// start before the lease expires.
func (w *leafWorker) dispatch(ctx context.Context, id uint64) {
	req := w.requests[id]
	if !w.mayAccept() {
		w.refuseDispatch(id, errs.ReasonPaused)
		return
	}
	// The wall clock is read before the monotonic clock, so that a pause between
	// the two makes the start-by time earlier, not later.
	wall := time.Now()
	until, ok := w.leases.AuthorizeDispatch(w.leaf.ID, w.tracker.NeedsLease())
	now := w.proc.Now()
	if !ok {
		w.refuseDispatch(id, errs.ReasonCold)
		return
	}
	if until > 0 {
		req.startBy = min(req.startBy, until)
	}
	w.recordTransitions(w.tracker.Step(now, warmup.Dispatched{}))
	w.metrics.sent.Inc(1)
	w.proc.Events.Add(timeline.KindLeafSend, req.message.RequestID, string(w.leaf.ID), "")

	runCtx, cancel := context.WithTimeout(ctx, req.deadline-now)
	w.running[id] = cancel
	go func() {
		result := w.runContained(runCtx, req, wall.Add(req.startBy-now))
		cancel()
		select {
		case w.inbox <- requestCompleted{id: id, result: result}:
		case <-ctx.Done():
		}
	}()
}

// runContained runs a request in the leaf. After a panic nobody knows whether it runs there.
func (w *leafWorker) runContained(ctx context.Context, req *leafRequest, startBy time.Time) (result leafResult) {
	defer w.proc.Panics.Recover("leaf-call", req.message.RequestID, func() {
		result = leafResult{err: errs.New(errs.StepLeafCall, string(w.leaf.ID), errs.ReasonInternal, false, "internal error")}
	})
	return w.client.run(ctx, req, startBy)
}

// refuseDispatch refuses a request that the queue has given a slot.
func (w *leafWorker) refuseDispatch(id uint64, reason errs.Reason) {
	w.refuse(leafqueue.Refuse{ID: id, Reason: reason})
	w.unusedSlots = append(w.unusedSlots, id)
}

// handleResult answers the entry, and releases the slot if the request is known to
// run no longer in the leaf.
func (w *leafWorker) handleResult(ctx context.Context, ev requestCompleted) {
	req := w.requests[ev.id]
	delete(w.requests, ev.id)
	delete(w.running, ev.id)
	now := w.proc.Now()
	w.recordTransitions(w.tracker.Step(now, outcomeEvent(&ev.result)))
	w.metrics.countResult(&ev.result)
	w.recordResult(req, &ev.result)
	w.reportOutdated = w.reportOutdated || ev.result.snapshotRetired(req.snapshot)
	if !req.answered {
		req.answer(w.reply(req, &ev.result))
	}
	if ev.result.err == nil || ev.result.err.NotRun {
		w.leases.LeafRequestFinished(w.leaf.ID)
		w.step(ctx, leafqueue.ReleaseSlot{ID: ev.id})
		return
	}
	w.handleUnknownOutcome(ctx, ev.id, req)
}

// handleUnknownOutcome handles a request without a reply that may still run in the
// leaf. A warm leaf sheds excess requests itself, so the slot is released at once.
// The slot of any other leaf is held until the request can no longer run.
func (w *leafWorker) handleUnknownOutcome(ctx context.Context, id uint64, req *leafRequest) {
	holdsSlot := w.tracker.NeedsLease()
	if !holdsSlot {
		w.step(ctx, leafqueue.ReleaseSlot{ID: id})
	}
	wait := w.leases.FinishedBy(req.startBy, w.runLimit) - w.proc.Now()
	time.AfterFunc(max(wait, 0), func() {
		// This is recorded even if the worker has stopped by then. Otherwise
		// this relay would never again acknowledge the lease to another relay.
		w.leases.LeafRequestFinished(w.leaf.ID)
		for holdsSlot && !w.post(slotReleased{id: id}) && !w.hasStopped() {
			time.Sleep(repostInterval)
		}
	})
	w.step(ctx, leafqueue.MarkAnswered{ID: id})
}

// outcomeEvent returns the event of the warm-up tracker for a result.
func outcomeEvent(r *leafResult) warmup.Event {
	switch {
	case r.err == nil:
		return warmup.Replied{Latency: r.runTime, Boot: r.boot}
	case r.err.Reason == errs.ReasonLeaving:
		return warmup.Refused{Leaving: true}
	case r.unsent && r.reset:
		return warmup.Refused{}
	case r.reset:
		return warmup.ConnectionReset{}
	case r.err.Reason == errs.ReasonDeadline:
		return warmup.TimedOut{}
	case r.err.Reason == errs.ReasonCancelled:
		return warmup.Cancelled{RunTime: r.runTime}
	default:
		return warmup.Refused{}
	}
}

func (w *leafWorker) recordResult(req *leafRequest, r *leafResult) {
	if r.err != nil {
		w.proc.Events.Add(timeline.KindLeafFailed, req.message.RequestID, string(w.leaf.ID), r.err.Error())
		return
	}
	w.proc.Events.Add(timeline.KindLeafReply, req.message.RequestID, string(w.leaf.ID), r.runTime.String())
}

func (w *leafWorker) reply(req *leafRequest, r *leafResult) *message.LeafReply {
	if r.err != nil {
		out := failureReply(req, r.err)
		out.Crash = r.reset && !r.unsent
		return out
	}
	return &message.LeafReply{
		Leaf: w.leaf.ID, Shard: r.shard, Snapshot: r.snapshot,
		Hits: r.hits, Result: r.result, RunTime: r.runTime,
	}
}

func (w *leafWorker) recordTransitions(changes []warmup.Transition) {
	for _, c := range changes {
		if c.To == warmup.Leaving {
			w.proc.Events.Add(timeline.KindUpstreamLeaving, "", string(w.leaf.ID), c.Reason)
		}
		w.proc.Events.Add(timeline.KindWarmup, "", string(w.leaf.ID), string(c.From)+" to "+string(c.To)+": "+c.Reason)
	}
}
