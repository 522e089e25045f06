package measure

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// dispatch sends a request to the leaf.
func (r *relay) dispatch(req *leafRequest) {
	req.sentAt = r.sim.Now
	r.stepTracker(warmup.Dispatched{})
	r.sim.After(localDelay, func() {
		boot := r.leaf.boot
		req.run = r.leaf.submit(func(o outcome) {
			r.sim.After(localDelay, func() { r.finish(req, o, boot) })
		})
	})
	r.sim.At(req.deadline, func() { r.finish(req, outcomeTimedOut, 0) })
}

// abort cancels a running request by closing its connection.
func (r *relay) abort(req *leafRequest) {
	if r.sim.policy.KeepColdRuns && r.tracker.NeedsLease() {
		return
	}
	r.sim.After(localDelay, func() { r.leaf.cancel(req.run) })
	r.sim.After(0, func() { r.finish(req, outcomeCancelled, 0) })
}

// finish replies to the entry. It releases the slot at once, unless the request
// may still run in a leaf that needs the cold lease.
func (r *relay) finish(req *leafRequest, o outcome, boot uint64) {
	if req.ended {
		return
	}
	req.ended = true
	delete(r.requests, req.id)
	if o == outcomeTimedOut {
		r.sim.After(localDelay, func() { r.leaf.cancel(req.run) })
	}
	r.trackOutcome(req, o, boot)
	req.deliverReply(replyOf(o))
	if o != outcomeReply && o != outcomeShed && r.tracker.NeedsLease() {
		r.holdSlot(req)
		return
	}
	r.step(leafqueue.ReleaseSlot{ID: req.id})
}

// holdSlot keeps the slot until the run limit ensures that the request no longer
// runs in the cold leaf.
func (r *relay) holdSlot(req *leafRequest) {
	wait := max(req.startBy-r.sim.Now+runLimit, 0)
	r.sim.After(wait, func() { r.step(leafqueue.ReleaseSlot{ID: req.id}) })
	r.step(leafqueue.MarkAnswered{ID: req.id})
}

func (r *relay) trackOutcome(req *leafRequest, o outcome, boot uint64) {
	switch o {
	case outcomeReply:
		r.stepTracker(warmup.Replied{Latency: r.sim.Now - req.sentAt, Boot: boot})
	case outcomeReset:
		r.stepTracker(warmup.ConnectionReset{})
	case outcomeTimedOut:
		r.stepTracker(warmup.TimedOut{})
	case outcomeCancelled:
		r.stepTracker(r.cancelledEvent(req))
	default:
		r.stepTracker(warmup.Refused{})
	}
}

func (r *relay) stepTracker(ev warmup.Event) {
	r.sim.result.countDemotions(r.tracker.Step(r.sim.Now, ev))
}

// cancelledEvent returns the tracker event for a cancelled request. Without
// CancelCensored it is Refused, since the tracker had no other event for it
// originally.
func (r *relay) cancelledEvent(req *leafRequest) warmup.Event {
	if r.sim.policy.CancelCensored {
		return warmup.Cancelled{RunTime: r.sim.Now - req.sentAt}
	}
	return warmup.Refused{}
}

func replyOf(o outcome) reply {
	switch o {
	case outcomeReply:
		return reply{ok: true}
	case outcomeShed:
		return reply{notRun: true, reason: string(errs.ReasonShed)}
	case outcomeReset:
		return reply{crash: true, reason: string(errs.ReasonConnectionLost)}
	case outcomeTimedOut:
		return reply{reason: string(errs.ReasonDeadline)}
	}
	return reply{reason: string(errs.ReasonCancelled)}
}

// probe requests the leaf's report and schedules the next probe, so that the
// leaf is probed each second.
func (r *relay) probe() {
	if r.leaf.dead {
		r.sim.After(probeTimeout, r.probeFailed)
		return
	}
	r.sim.After(2*localDelay, func() { r.probeSucceeded(); r.sim.After(probeInterval-2*localDelay, r.probe) })
}

// connectionsClosed handles the closing of all connections by the leaf.
func (r *relay) connectionsClosed() {
	if !r.sim.policy.ProbeOnClose {
		return
	}
	r.awaitingProbe = true
	r.sim.After(2*localDelay, r.probeSucceeded)
}

func (r *relay) probeFailed() {
	r.stepTracker(warmup.ConnectFailed{})
	r.stepTracker(warmup.Probed{})
	r.step(leafqueue.Tick{})
	r.sim.After(probeInterval-probeTimeout, r.probe)
}

func (r *relay) probeSucceeded() {
	load := r.leaf.load()
	if r.sim.policy.ExcludeOwnLoad {
		load = max(load-float64(r.queue.Running())/leafSlots, 0)
	}
	r.stepTracker(warmup.Probed{OK: true, Boot: r.leaf.boot})
	r.stepTracker(warmup.Report{Boot: r.leaf.boot, Load: load})
	r.awaitingProbe = false
	r.step(leafqueue.Tick{})
}
