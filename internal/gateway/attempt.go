package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/merge"
	"github.com/medlarswitch/medlarswitch/internal/placement"
	"github.com/medlarswitch/medlarswitch/internal/query"
)

// stragglerTimeout is how long a request may continue after its reply is no
// longer needed, so that its connection can be reused. It is longer than a
// leaf's pauses.
const stragglerTimeout = 250 * time.Millisecond

// replyUsers are the users of the memory of a reply: the exchange that reads it and the run
// that answers with it.
const replyUsers = 2

// attempt is one request to a leaf.
type attempt struct {
	id        uint64
	service   fleet.ServiceName
	leaf      fleet.LeafID
	startedAt time.Duration
	// sentAt is when the request was about to be sent. It is guarded by the node's mu.
	sentAt time.Duration
	cancel context.CancelFunc
	reply  *leafconn.Reply
	info   ReplyInfo
	// part holds the records of a reply that is a part of the answer.
	part *merge.TopK
	// memory is that of the reply; nil if nothing was sent.
	memory    *leafconn.Reservation
	sendState sendState
	// completed is true once the run has recorded the result of the attempt.
	completed bool
}

// result is what an attempt completed with.
type result struct {
	attempt *attempt
	reply   *leafconn.Reply
	info    ReplyInfo
	err     error
	// local is true when this VM sent nothing because the leaf had become
	// unusable for the given reason.
	local  bool
	reason errs.Reason
	// lostFrom is set when the connection was lost after the request was sent: the
	// connections to the leaf.
	lostFrom *leafconn.Pool
}

// errLeafUnusable is the error of an attempt whose leaf became unusable after
// it was chosen.
var errLeafUnusable = errors.New("the leaf became unusable after it was chosen")

// startAttempt sends a request to a leaf. The result is sent to the run's
// channel, whose buffer holds the results of all attempts.
func (r *run) startAttempt(send query.Send) {
	n := r.node
	a := &attempt{id: send.Attempt, service: fleet.ServiceName(send.Shard), leaf: fleet.LeafID(send.Leaf)}
	r.attempts = append(r.attempts, a)
	pool, unusable := n.beginAttempt(a)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	if unusable != "" {
		r.results <- result{attempt: a, err: errLeafUnusable, local: true, reason: unusable}
		return
	}
	n.metrics.leafSends.Inc(1)
	if send.Kind != query.KindFirst {
		n.metrics.extraSends.Inc(1)
	}
	a.memory = n.replyMemory.Reserve(r.call.route.Name, replyUsers)
	go r.exchange(ctx, a, pool)
}

// beginAttempt records the start of an attempt and returns the connections to its leaf, or
// the reason why the leaf has become unusable.
func (n *Node) beginAttempt(a *attempt) (*leafconn.Pool, errs.Reason) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	a.startedAt = now
	pool := n.poolFor(a.leaf)
	if pool == nil || !n.table.Usable(now, a.leaf) {
		return nil, n.unavailableReason(now, a.service)
	}
	n.table.Begin(now, a.leaf)
	return pool, ""
}

func (r *run) exchange(ctx context.Context, a *attempt, pool *leafconn.Pool) {
	defer r.recoverAttempt(a)
	defer a.memory.Release()
	n, c := r.node, r.call
	deadline := c.startedAt.Add(c.timeout())
	request := c.request
	request.Admit = func() bool {
		left := n.stopping.limitLeafTime(deadline.Sub(n.started)) - n.now()
		request.Header = n.codec.LeafRequestHeader(c.info.RequestID, a.leaf, left)
		return n.maySend(a, c.route.Name) && a.sendState.begin()
	}
	var info ReplyInfo
	request.OnHead = func(status int, h http.Header) leafconn.Sink { return r.readHead(a, &info, status, h) }
	request.MaxBodyBytes, request.Memory = r.partLimit(), a.memory
	reply, err := pool.Exchange(ctx, &request, deadline, func(h http.Header) leafconn.Match {
		switch n.codec.ReplyRequestID(h) {
		case c.info.RequestID:
			return leafconn.MatchOwn
		case "":
			return leafconn.MatchUnnamed
		}
		return leafconn.MatchOther
	})
	res := result{attempt: a, reply: reply, err: err}
	if reply != nil {
		res.info = info
	}
	if errors.Is(err, leafconn.ErrNotAdmitted) {
		res.local, res.reason = true, n.whyNotSent(a.service, c.route.Name)
	}
	n.recordAttempt(ctx, a, c.route.Name, &res, pool.IdleUntil())
	if connectionLost(err) && ctx.Err() == nil {
		n.metrics.connectionsLost.Inc(1)
		res.lostFrom = pool
	}
	r.results <- res
}

// maySend reports whether a request that has waited for a connection may still be sent.
func (n *Node) maySend(a *attempt, route string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusesSend(route) {
		return false
	}
	a.sentAt = n.now()
	return n.table.Admit(n.now(), a.leaf, a.startedAt)
}

// whyNotSent returns why a request that has waited for a connection may not be sent.
func (n *Node) whyNotSent(service fleet.ServiceName, route string) errs.Reason {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusesSend(route) {
		return errs.ReasonDraining
	}
	return n.unavailableReason(n.now(), service)
}

// recordAttempt records the outcome of an attempt in the placement table, the
// hedge delays and the metrics.
func (n *Node) recordAttempt(ctx context.Context, a *attempt, route string, res *result, idleUntil time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	outcome := outcomeOf(ctx, res)
	var failure *leafconn.Error
	if errors.As(res.err, &failure) && !failure.HeardAt.IsZero() {
		n.table.RecordHeard(a.leaf, failure.HeardAt.Sub(n.started))
		if failure.Discarded {
			n.metrics.repliesDiscarded.Inc(1)
		}
	}
	n.table.End(now, a.leaf, route, a.startedAt, outcome)
	if !idleUntil.IsZero() {
		n.table.SetConnectedUntil(a.leaf, idleUntil.Sub(n.started))
	}
	if outcome == placement.Replied {
		n.hedgeDelays.Observe(delayKey(route), now-a.startedAt)
		n.metrics.leafLatency.Update((now - a.startedAt).Milliseconds())
	} else {
		n.metrics.leafFailures.Inc(1)
	}
	if res.reply != nil {
		n.table.RecordStatus(now, a.leaf, res.info.Load, res.info.HasLoad, res.info.ColdFor)
	}
}

// outcomeOf classifies a result for the placement table.
func outcomeOf(ctx context.Context, res *result) placement.Outcome {
	var failure *leafconn.Error
	switch {
	case errors.As(res.err, &failure) && failure.Step == leafconn.StepWait:
		return placement.NotSent
	case ctx.Err() != nil:
		return placement.Abandoned
	case errors.As(res.err, &failure) && !failure.Sent:
		return placement.Unreachable
	case errors.As(res.err, &failure) && failure.Discarded:
		return placement.Failed
	case errors.As(res.err, &failure) && !failure.ConnectionLost:
		return placement.TimedOut
	case res.err != nil:
		return placement.Failed
	case res.info.WrongInstance:
		return placement.Replaced
	case res.info.NotRun:
		return placement.Refused
	case res.reply.Status >= http.StatusInternalServerError || res.info.Receipt == "":
		return placement.Failed
	}
	return placement.Replied
}

// eventFor returns the event that reports a result to the query machine.
func (r *run) eventFor(res *result) query.Event {
	a := res.attempt
	var failure *leafconn.Error
	switch {
	case res.err == nil && r.accepts(res):
		return query.Reply{Attempt: a.id, Leaf: leafID(a.leaf), Shard: shardID(a.service)}
	case res.err == nil && res.info.NotRun:
		return query.Failed{Attempt: a.id, Reason: errs.ReasonShed, NotRun: true}
	case res.err == nil:
		return query.Failed{Attempt: a.id, Reason: errs.ReasonInternal}
	case res.local:
		return query.Failed{Attempt: a.id, Reason: res.reason, NotRun: true}
	case errors.As(res.err, &failure) && !failure.Sent:
		return query.Failed{Attempt: a.id, Reason: errs.ReasonDown, NotRun: true}
	case errors.As(res.err, &failure) && failure.Discarded:
		return query.Failed{Attempt: a.id, Reason: errs.ReasonTooLong}
	case errors.As(res.err, &failure) && !failure.ConnectionLost:
		return query.Failed{Attempt: a.id, Reason: errs.ReasonDeadline}
	}
	return query.Failed{Attempt: a.id, Reason: errs.ReasonConnectionLost, Crash: true}
}

// accepts reports whether a reply answers the request. Without fan-out, an
// error status that the caller has to handle is an answer too.
func (r *run) accepts(res *result) bool {
	if r.call.route.FansOut() {
		return isPart(res.reply.Status, &res.info)
	}
	if res.info.Receipt == "" || res.info.NotRun {
		return false
	}
	return res.reply.Status < http.StatusInternalServerError
}

// logFailure logs an attempt that failed or whose reply was not accepted.
func (r *run) logFailure(res *result) {
	a := res.attempt
	took := r.node.now() - a.startedAt
	if res.err != nil {
		klog.ErrorS(res.err, "Leaf request failed", "request", r.call.info.RequestID, "leaf", a.leaf, "service", a.service,
			"took", took, "local", res.local)
		return
	}
	if !r.accepts(res) {
		klog.InfoS("Leaf reply not accepted", "request", r.call.info.RequestID, "leaf", a.leaf, "service", a.service,
			"took", took, "status", res.reply.Status, "notRun", res.info.NotRun, "receipt", res.info.Receipt != "")
	}
}
