package measure

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// dispatch sends a request to the leaf.
func (r *relay) dispatch(req *leafRequest) {
	req.sent = r.sim.Now
	r.track(warmup.Dispatched{})
	r.sim.After(localDelay, func() {
		boot := r.leaf.boot
		req.run = r.leaf.submit(func(o outcome) {
			r.sim.After(localDelay, func() { r.ended(req, o, boot) })
		})
	})
	r.sim.At(req.deadline, func() { r.ended(req, outcomeTimedOut, 0) })
}

// abort closes the connection of a request that runs.
func (r *relay) abort(req *leafRequest) {
	if r.sim.policy.KeepColdRuns && r.tracker.NeedsLease() {
		return
	}
	r.sim.After(localDelay, func() { r.leaf.cancel(req.run) })
	r.sim.After(0, func() { r.ended(req, outcomeCancelled, 0) })
}

// ended answers the entry, and frees the slot once the request is known to
// have left the leaf.
func (r *relay) ended(req *leafRequest, o outcome, boot uint64) {
	if req.ended {
		return
	}
	req.ended = true
	delete(r.requests, req.id)
	if o == outcomeTimedOut {
		r.sim.After(localDelay, func() { r.leaf.cancel(req.run) })
	}
	r.observe(req, o, boot)
	req.answer(replyOf(o))
	if o != outcomeReply && o != outcomeShed && r.tracker.NeedsLease() {
		r.hold(req)
		return
	}
	r.step(leafqueue.ReleaseSlot{ID: req.id})
}

// hold keeps the slot until the request cannot run in the cold leaf any more.
func (r *relay) hold(req *leafRequest) {
	wait := max(req.startBy-r.sim.Now+runLimit, 0)
	r.sim.After(wait, func() { r.step(leafqueue.ReleaseSlot{ID: req.id}) })
	r.step(leafqueue.MarkAnswered{ID: req.id})
}

func (r *relay) observe(req *leafRequest, o outcome, boot uint64) {
	switch o {
	case outcomeReply:
		r.track(warmup.Replied{Latency: r.sim.Now - req.sent, Boot: boot})
	case outcomeReset:
		r.track(warmup.ConnectionReset{})
	case outcomeTimedOut:
		r.track(warmup.TimedOut{})
	case outcomeCancelled:
		r.track(r.cancelledEvent(req))
	default:
		r.track(warmup.Refused{})
	}
}

func (r *relay) track(ev warmup.Event) {
	r.sim.result.fell(r.tracker.Step(r.sim.Now, ev))
}

// cancelledEvent is Refused as in the first relay, whose tracker knew no event
// for a request that its caller withdrew.
func (r *relay) cancelledEvent(req *leafRequest) warmup.Event {
	if r.sim.policy.CancelCensored {
		return warmup.Cancelled{RunTime: r.sim.Now - req.sent}
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

// probe asks the leaf for its report, each second and when the tracker asks.
func (r *relay) probe() {
	if r.leaf.dead {
		r.sim.After(probeTimeout, r.probeFailed)
		return
	}
	r.sim.After(2*localDelay, func() { r.probed(); r.sim.After(probeInterval-2*localDelay, r.probe) })
}

// closed takes the end of all connections to the leaf.
func (r *relay) closed() {
	if !r.sim.policy.ProbeOnClose {
		return
	}
	r.unsure = true
	r.sim.After(2*localDelay, r.probed)
}

func (r *relay) probeFailed() {
	r.track(warmup.ConnectFailed{})
	r.track(warmup.Probed{})
	r.step(leafqueue.Tick{})
	r.sim.After(probeInterval-probeTimeout, r.probe)
}

func (r *relay) probed() {
	load := r.leaf.load()
	if r.sim.policy.OthersLoad {
		load = max(load-float64(r.queue.Running())/slots, 0)
	}
	r.track(warmup.Probed{OK: true, Boot: r.leaf.boot})
	r.track(warmup.Report{Boot: r.leaf.boot, Load: load})
	r.unsure = false
	r.step(leafqueue.Tick{})
}
