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

// dispatch sends a request to the leaf. A request under the lease must start
// before the lease ends.
func (w *leafWorker) dispatch(ctx context.Context, id uint64) {
	req := w.requests[id]
	now := w.proc.Now()
	startBy := req.startBy
	if until, held := w.leases.Held(now, w.leaf.ID); held && w.tracker.NeedsLease() {
		startBy = min(startBy, until)
	}
	w.leases.Dispatched(w.leaf.ID)
	w.transitions(w.tracker.Step(now, warmup.Dispatched{}))
	w.proc.Events.Add(timeline.KindLeafSend, req.message.RequestID, string(w.leaf.ID), "")

	runCtx, cancel := context.WithTimeout(ctx, req.deadline-now)
	w.running[id] = cancel
	wall := time.Now().Add(startBy - now)
	go func() {
		result := w.client.run(runCtx, &req.message, req.snapshot, wall)
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
	w.record(req, &ev.result)
	req.answer(w.reply(&ev.result))
	if w.mayStillRun(&ev.result) {
		w.hold(ctx, ev.id, req)
		return
	}
	w.free(ctx, ev.id)
}

// mayStillRun reports whether the leaf may go on with a request that has
// ended here. Only for a leaf whose own shedding is not trusted does that
// keep the slot.
func (w *leafWorker) mayStillRun(r *leafResult) bool {
	return r.err != nil && !r.err.NotRun && w.tracker.NeedsLease()
}

// hold keeps the slot of a request until it cannot run in the leaf any more.
func (w *leafWorker) hold(ctx context.Context, id uint64, req *leafRequest) {
	w.uncertain[id] = true
	wait := req.startBy - w.proc.Now() + w.runLimit
	time.AfterFunc(max(wait, 0), func() {
		select {
		case w.inbox <- slotFreed{id: id}:
		case <-ctx.Done():
		}
	})
	w.step(ctx, leafqueue.Tick{})
}

func (w *leafWorker) free(ctx context.Context, id uint64) {
	delete(w.uncertain, id)
	w.leases.Ended(w.leaf.ID)
	w.step(ctx, leafqueue.Done{ID: id})
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
		return warmup.Reset{}
	case r.err.Reason == errs.ReasonDeadline:
		return warmup.TimedOut{}
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

func (w *leafWorker) reply(r *leafResult) *message.LeafReply {
	if r.err != nil {
		out := failedReply(w.leaf, r.err)
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
		w.proc.Events.Add(timeline.KindWarmup, "", string(w.leaf.ID), string(c.From)+" to "+string(c.To)+": "+c.Reason)
	}
}
