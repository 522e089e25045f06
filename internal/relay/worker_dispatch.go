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

// repostInterval is the pause before an event that must not be lost is posted
// again to a full inbox.
const repostInterval = 10 * time.Millisecond

// dispatch sends a request to the leaf. A request under the lease must start
// before the lease ends.
func (w *leafWorker) dispatch(ctx context.Context, id uint64) {
	req := w.requests[id]
	// The wall clock is read first: a pause between the two readings then
	// makes the start-by earlier and not later.
	wall := time.Now()
	until, ok := w.leases.Dispatch(w.leaf.ID, w.tracker.NeedsLease())
	now := w.proc.Now()
	if !ok {
		w.refuse(leafqueue.Refuse{ID: id, Reason: errs.ReasonCold})
		w.unused = append(w.unused, id)
		return
	}
	if until > 0 {
		req.startBy = min(req.startBy, until)
	}
	w.transitions(w.tracker.Step(now, warmup.Dispatched{}))
	w.metrics.sent.Inc(1)
	w.proc.Events.Add(timeline.KindLeafSend, req.message.RequestID, string(w.leaf.ID), "")

	runCtx, cancel := context.WithTimeout(ctx, req.deadline-now)
	w.running[id] = cancel
	go func() {
		result := w.client.run(runCtx, req, wall.Add(req.startBy-now))
		cancel()
		select {
		case w.inbox <- requestEnded{id: id, result: result}:
		case <-ctx.Done():
		}
	}()
}

// ended answers the entry and frees the slot once the request is known to
// have left the leaf.
func (w *leafWorker) ended(ctx context.Context, ev requestEnded) {
	req := w.requests[ev.id]
	delete(w.requests, ev.id)
	delete(w.running, ev.id)
	now := w.proc.Now()
	w.transitions(w.tracker.Step(now, outcomeEvent(&ev.result)))
	w.metrics.ended(&ev.result)
	w.record(req, &ev.result)
	w.outdated = w.outdated || ev.result.retired(req.snapshot)
	if !req.answered {
		req.answer(w.reply(req, &ev.result))
	}
	if ev.result.err == nil || ev.result.err.NotRun {
		w.leases.Ended(w.leaf.ID)
		w.step(ctx, leafqueue.ReleaseSlot{ID: ev.id})
		return
	}
	w.endedUnknown(ctx, ev.id, req)
}

// endedUnknown handles a request that the leaf may go on with after it has
// ended here. A warm leaf's own shedding is trusted, so its slot is free at
// once; that of another leaf is held until the request cannot run any more.
func (w *leafWorker) endedUnknown(ctx context.Context, id uint64, req *leafRequest) {
	holdsSlot := w.tracker.NeedsLease()
	if !holdsSlot {
		w.step(ctx, leafqueue.ReleaseSlot{ID: id})
	}
	wait := w.leases.GoneBy(req.startBy, w.runLimit) - w.proc.Now()
	time.AfterFunc(max(wait, 0), func() {
		// The lease learns of the end also when the worker is gone by then, or
		// it would never again be acknowledged to others.
		w.leases.Ended(w.leaf.ID)
		for holdsSlot && !w.post(slotFreed{id: id}) && !w.hasEnded() {
			time.Sleep(repostInterval)
		}
	})
	w.step(ctx, leafqueue.MarkAnswered{ID: id})
}

// outcomeEvent tells the warm-up tracker how a request ended.
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

func (w *leafWorker) record(req *leafRequest, r *leafResult) {
	if r.err != nil {
		w.proc.Events.Add(timeline.KindLeafFailed, req.message.RequestID, string(w.leaf.ID), r.err.Error())
		return
	}
	w.proc.Events.Add(timeline.KindLeafReply, req.message.RequestID, string(w.leaf.ID), r.runTime.String())
}

func (w *leafWorker) reply(req *leafRequest, r *leafResult) *message.LeafReply {
	if r.err != nil {
		out := failedReply(req, r.err)
		out.Crash = r.reset && !r.unsent
		return out
	}
	return &message.LeafReply{
		Leaf: w.leaf.ID, Shard: r.shard, Snapshot: r.snapshot,
		Hits: r.hits, Result: r.result, RunTime: r.runTime,
	}
}

func (w *leafWorker) transitions(changes []warmup.Transition) {
	for _, c := range changes {
		if c.To == warmup.Leaving {
			w.proc.Events.Add(timeline.KindUpstreamLeaving, "", string(w.leaf.ID), c.Reason)
		}
		w.proc.Events.Add(timeline.KindWarmup, "", string(w.leaf.ID), string(c.From)+" to "+string(c.To)+": "+c.Reason)
	}
}
