package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
)

// overdueMargin is how long after the target of a query the aggregator's answer
// counts as overdue: the time for two frames and their processing on a small
// VM.
const overdueMargin = 50 * time.Millisecond

// delegate delegates a query to an aggregator and reports whether the caller
// was answered. If it was not, the query has not run.
func (n *Node) delegate(w http.ResponseWriter, r *http.Request, c *call) bool {
	vm, ok := n.chooseAggregator(c)
	if !ok {
		return false
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.startedAt.Add(c.timeout()))
	defer cancel()
	resume := context.AfterFunc(n.stopping.ended, cancel)
	defer resume()
	overdue := time.AfterFunc(n.answerTarget(c)+overdueMargin, func() { n.markOverdue(vm.Address) })
	defer overdue.Stop()
	answer, err := n.peerClient.Query(ctx, vm.Address, c.queryMessage())
	outcome := delegationOutcome(r.Context(), &answer, err)
	n.recordDelegation(vm, outcome, &answer)
	took := time.Since(c.startedAt)
	switch {
	case r.Context().Err() != nil:
		n.metrics.callerGone.Inc(1)
		klog.InfoS("Caller left", "request", c.info.RequestID, "aggregator", vm.Name, "took", took)
		// The caller has left; aborting the handler closes the connection.
		panic(http.ErrAbortHandler)
	case outcome == delegation.Declined || notSent(err):
		klog.InfoS("Delegation declined", "request", c.info.RequestID, "aggregator", vm.Name, "took", took, "err", err)
		return false
	case err != nil:
		n.failDelegated(w, c, vm, err)
	default:
		n.passDelegated(w, c, vm, &answer)
	}
	return true
}

func (n *Node) chooseAggregator(c *call) (delegation.VM, bool) {
	if !c.route.FansOut() {
		return delegation.VM{}, false
	}
	return n.nextAggregator()
}

// nextAggregator returns the aggregator for the next query, and counts the query as
// running there.
func (n *Node) nextAggregator() (delegation.VM, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.aggregators.Choose(n.now(), func(addr string) bool { return n.links.Get(addr) != nil })
}

// queryMessage returns the call as the message to an aggregator.
func (c *call) queryMessage() message.Query {
	q := message.Query{
		RequestID: c.info.RequestID, Version: c.conf.Version, Method: c.request.Method, Host: c.request.Host,
		Path: c.path, Target: c.request.Target, Header: c.request.Header, Body: c.request.Body, HasBody: c.request.HasBody,
	}
	if c.info.TimeLeft > 0 {
		q.TimeLeft = max(c.info.TimeLeft-time.Since(c.startedAt), time.Millisecond)
	}
	return q
}

// notSent reports whether a failed call to another VM is known not to have been
// sent.
func notSent(err error) bool {
	var failure *errs.Error
	return errors.As(err, &failure) && failure.NotRun
}

func delegationOutcome(callerCtx context.Context, answer *message.QueryAnswer, err error) delegation.Outcome {
	switch {
	case callerCtx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return delegation.Cancelled
	case err != nil:
		return delegation.ConnectionLost
	case answer.Declined:
		return delegation.Declined
	}
	return delegation.Answered
}

func (n *Node) recordDelegation(vm delegation.VM, outcome delegation.Outcome, answer *message.QueryAnswer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.aggregators.Complete(now, vm.Address, outcome)
	if outcome == delegation.Answered || outcome == delegation.Declined {
		n.aggregatorPartitioned.Store(answer.Partitioned)
		n.aggregators.RecordLoad(now, vm.Address, answer.Runs)
	}
}

func (n *Node) markOverdue(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.aggregators.MarkOverdue(n.now(), addr) {
		klog.ErrorS(nil, "Aggregator answer overdue", "peer", addr)
	}
}

// passDelegated writes an aggregator's answer to the caller.
func (n *Node) passDelegated(w http.ResponseWriter, c *call, vm delegation.VM, answer *message.QueryAnswer) {
	took := time.Since(c.startedAt)
	n.metrics.delegated.Inc(1)
	n.metrics.latency.Update(took.Milliseconds())
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	writeAnswer(w, c, answer.Status, answer.Body)
	klog.InfoS("Answered by an aggregator", "request", c.info.RequestID, "route", c.route.Name, "version", c.conf.Version,
		"aggregator", vm.Name, "status", answer.Status, "took", took)
}

// failDelegated answers a query whose outcome at the aggregator is unknown. The
// query is not run again here, because that could send it to more leaves than
// its route allows. A retry by the caller is a new request, with its own
// attempts.
func (n *Node) failDelegated(w http.ResponseWriter, c *call, vm delegation.VM, err error) {
	status := http.StatusBadGateway
	if time.Since(c.startedAt) >= c.timeout() {
		status = http.StatusGatewayTimeout
	}
	n.metrics.failed.Inc(1)
	klog.ErrorS(err, "Not answered by an aggregator", "request", c.info.RequestID, "route", c.route.Name,
		"aggregator", vm.Name, "status", status, "took", time.Since(c.startedAt))
	n.codec.SetRefusalHeader(w.Header(), c.info.RequestID, 0)
	http.Error(w, "the query was lost at another VM", status)
}

// linkPeers keeps connections to the VMs that this one reads from or delegates
// to. The caller holds mu.
func (n *Node) linkPeers() {
	addrs := append(n.sources.Peers(), n.aggregators.Addresses()...)
	slices.Sort(addrs)
	n.links.Set(n.lifetime, slices.Compact(addrs))
}
