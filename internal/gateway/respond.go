package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/drainplan"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/merge"
	"github.com/medlarswitch/medlarswitch/internal/query"
)

const (
	// shedRetryAfter is when a caller may retry after leaves, or this VM, shed its
	// request: about the time in which a queue of a few requests empties.
	shedRetryAfter = 40 * time.Millisecond
	// unreachableRetryAfter is when a caller may retry after no leaf was
	// reachable: once the next probe has completed.
	unreachableRetryAfter = 250 * time.Millisecond
	// statedRetryAfterMax limits when a caller may retry because of what leaves state: its
	// next attempt may reach a VM that has some of their limit left, or that they have not
	// asked for a rest.
	statedRetryAfterMax = time.Second
	// otherVMRetryAfter is when a caller may retry at another VM, which can
	// serve the request.
	otherVMRetryAfter = 5 * time.Millisecond
)

// maxMissingLogged limits the missing shards in a log line.
const maxMissingLogged = 4

// finish answers the caller and returns true, or returns false if the caller
// left.
func (r *run) finish(w http.ResponseWriter, answer query.Answer) bool {
	n, route := r.node, r.call.route
	took := time.Since(r.call.startedAt)
	n.metrics.latency.Update(took.Milliseconds())
	minShards := minCoveredShards(route.MinCoverage, len(route.Shards))
	switch {
	case answer.Err == errs.ReasonCancelled:
		n.metrics.callerGone.Inc(1)
		r.log("Caller left", 0, took, answer)
		return false
	case route.FansOut() && answer.CoveredWeight >= minShards:
		r.answerMerged(w, answer)
		r.log("Answered", http.StatusOK, took, answer)
	case !route.FansOut() && len(r.merged) > 0:
		r.recordDuration(r.merged[0], took)
		r.passThrough(w, r.merged[0])
		r.log("Answered", r.merged[0].reply.Status, took, answer)
	case r.lastFailure != nil && !route.FansOut():
		r.passThrough(w, r.lastFailure.attempt)
		n.metrics.failed.Inc(1)
		r.log("Returned the failure reply of a leaf", r.lastFailure.reply.Status, took, answer)
	default:
		r.fail(w, took, answer)
	}
	return true
}

// recordDuration records how long a call and its leaf request took.
func (r *run) recordDuration(a *attempt, took time.Duration) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.durations.Observe(now, r.call.route.Name, drainplan.Expected{Answer: took, Reply: now - a.sentAt})
}

// answerMerged writes the top records of the merged replies.
func (r *run) answerMerged(w http.ResponseWriter, answer query.Answer) {
	n, route := r.node, r.call.route
	top := merge.NewTopK(route.TopK)
	receipts := make([]string, 0, len(r.merged))
	for _, a := range r.merged {
		receipts = append(receipts, a.info.Receipt)
		top.Merge(a.part)
	}
	body := top.Bytes()
	n.metrics.answered.Inc(1)
	if len(answer.Missing) > 0 {
		n.metrics.partial.Inc(1)
	}
	n.codec.SetMergedHeader(w.Header(), r.call.info.RequestID, receipts, len(answer.Missing))
	writeAnswer(w, r.call, http.StatusOK, body)
}

// passThrough writes a leaf's reply unchanged.
func (r *run) passThrough(w http.ResponseWriter, a *attempt) {
	r.node.metrics.answered.Inc(1)
	for name, values := range r.node.codec.ReplyHeader(a.reply.Header) {
		w.Header()[name] = values
	}
	if _, ok := w.Header()["Content-Type"]; !ok {
		// Without this entry net/http would add a detected type.
		w.Header()["Content-Type"] = nil
	}
	writeAnswer(w, r.call, a.reply.Status, a.reply.Body)
}

func writeAnswer(w http.ResponseWriter, c *call, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		klog.InfoS("Failed to write the answer to the caller", "request", c.info.RequestID, "err", err)
	}
}

// fail answers a call without an accepted reply. Status 503 and a time to retry
// after state that the request did not run.
func (r *run) fail(w http.ResponseWriter, took time.Duration, answer query.Answer) {
	n := r.node
	status, after := http.StatusServiceUnavailable, n.retryAfter(answer)
	if r.mayHaveRun || len(r.merged) > 0 || r.anyUnanswered() {
		status, after = http.StatusBadGateway, 0
		if took >= r.call.timeout() {
			status = http.StatusGatewayTimeout
		}
	}
	if status == http.StatusServiceUnavailable {
		n.metrics.refused.Inc(1)
	} else {
		n.metrics.failed.Inc(1)
	}
	n.codec.SetRefusalHeader(w.Header(), r.call.info.RequestID, after)
	http.Error(w, string(answer.Err), status)
	r.log("Not answered", status, took, answer)
}

// retryAfter returns when a caller whose request did not run may retry.
func (n *Node) retryAfter(answer query.Answer) time.Duration {
	if n.selfOrAggregatorPartitioned() {
		return otherVMRetryAfter
	}
	if answer.Err == errs.ReasonDraining {
		return otherVMRetryAfter
	}
	after := shedRetryAfter
	for _, m := range answer.Missing {
		switch m.Reason {
		case errs.ReasonNoLeaf, errs.ReasonDown, errs.ReasonLeaving:
			return unreachableRetryAfter
		case errs.ReasonLimited, errs.ReasonResting:
			after = max(after, n.statedRetryAfter(fleet.ServiceName(m.Shard)))
		}
	}
	return after
}

// statedRetryAfter returns when a leaf of a service is expected to take a request again.
func (n *Node) statedRetryAfter(service fleet.ServiceName) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, wait := n.table.StatedObstacle(n.now(), service)
	return min(wait, statedRetryAfterMax)
}

// anyUnanswered reports whether an attempt was sent whose result is not known. An attempt
// that was not sent will not be.
func (r *run) anyUnanswered() bool {
	return !r.withdrawAll()
}

// log logs the outcome of the call in one line.
func (r *run) log(message string, status int, took time.Duration, answer query.Answer) {
	c := r.machine.Counters()
	values := []any{
		"request", r.call.info.RequestID, "route", r.call.route.Name, "version", r.call.conf.Version,
		"status", status, "took", took, "timeLeft", r.call.info.TimeLeft,
		"covered", answer.CoveredWeight, "of", answer.TotalWeight, "missing", r.missing(answer),
		"sends", len(r.attempts), "hedges", c.Hedges, "retries", c.Retries, "moves", c.Moves, "denied", c.Denied,
	}
	if status >= http.StatusInternalServerError || len(answer.Missing) > 0 {
		klog.ErrorS(nil, message, values...)
	} else {
		klog.InfoS(message, values...)
	}
}

// missing lists up to maxMissingLogged missing shards, each with the leaf that
// was tried last and the reason.
func (r *run) missing(answer query.Answer) string {
	if len(answer.Missing) == 0 {
		return ""
	}
	lastLeaf := make(map[fleet.ServiceName]fleet.LeafID, len(r.attempts))
	for _, a := range r.attempts {
		lastLeaf[a.service] = a.leaf
	}
	var out strings.Builder
	for i, m := range answer.Missing {
		if i == maxMissingLogged {
			fmt.Fprintf(&out, " and %d more", len(answer.Missing)-i)
			break
		}
		if i > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(&out, "%s@%s:%s", m.Shard, lastLeaf[fleet.ServiceName(m.Shard)], m.Reason)
	}
	return out.String()
}
