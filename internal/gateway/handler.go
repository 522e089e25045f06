package gateway

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/intake"
	"github.com/medlarswitch/medlarswitch/internal/leafconn"
)

const (
	// syncTime is the time from a node's start until it has a configuration and
	// leaves, while all nodes start at once. Otherwise the balancer sends no callers
	// to a node that has not reported ready.
	syncTime = 400 * time.Millisecond
	// minSyncRetryAfter is when a caller may retry when that time has passed.
	minSyncRetryAfter = 50 * time.Millisecond
	// deadlineMargin is the part of the caller's time that is reserved for
	// returning the answer.
	deadlineMargin = 4 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	info      RequestInfo
	conf      *fleet.Configuration
	route     *fleet.Route
	startedAt time.Time
	// path is the path that the route was found by.
	path    string
	request leafconn.Request
	// memory and slots are those of the run. delegatedID is the entry that holds the memory of
	// a query of another VM; 0 if there is none.
	memory      *leafconn.Reservation
	slots       int
	delegatedID intake.ID
	// fingerprint identifies the request, also in later attempts of its caller.
	fingerprint uint64
}

// timeout returns how long after its start the call is answered at the latest.
// The deadline margin is already deducted.
func (c *call) timeout() time.Duration {
	left := c.route.Timeout
	if c.info.TimeLeft > 0 && (left <= 0 || c.info.TimeLeft < left) {
		left = c.info.TimeLeft
	}
	return max(left-deadlineMargin, deadlineMargin)
}

// encodeHeader encodes the forwarded headers, which all leaf requests of the call share, and drops
// the parsed ones. The fingerprint must be known by then.
func (c *call) encodeHeader(codec Codec) {
	c.request.Lines, c.request.Header = codec.ForwardedLines(c.request.Header, c.info.RequestID), nil
}

// serve handles one request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if conn := callerConnOf(r.Context()); conn != nil && !conn.beginRequest() {
		panic(http.ErrAbortHandler)
	}
	startedAt := time.Now()
	n.metrics.requests.Inc(1)
	var info RequestInfo
	started := &startedWriter{ResponseWriter: w, draining: n.drain.Draining}
	w = started
	defer n.recoverRequest(started, &info)
	info = n.codec.ParseRequest(r.Header)
	if n.selfOrAggregatorPartitioned() {
		// The caller sends its next request to another node.
		w.Header().Set("Connection", "close")
	}
	if conn := callerConnOf(r.Context()); conn != nil && !conn.takeHead(r) {
		n.refuseUnread(w, r, info, http.StatusServiceUnavailable, otherVMRetryAfter, errNoCallerMemory.Error())
		return
	}
	if n.inDoubt.Load() {
		w.Header().Set("Connection", "close")
		n.refuseUnread(w, r, info, http.StatusServiceUnavailable, otherVMRetryAfter, errStateInDoubt.Error())
		return
	}
	conf := n.activeConfiguration.Load()
	if conf == nil {
		n.refuseUnread(w, r, info, http.StatusServiceUnavailable, n.syncedIn(), "no configuration yet")
		return
	}
	route := conf.FindRoute(r.Host, r.URL.EscapedPath())
	if route == nil {
		n.refuseUnread(w, r, info, http.StatusNotFound, 0, "no route for "+r.Host+r.URL.EscapedPath())
		return
	}
	c := &call{info: info, conf: conf, route: route, startedAt: startedAt, path: r.URL.EscapedPath()}
	body, failure := n.readBody(w, r, conf.Limits.MaxBodyBytes, startedAt.Add(c.timeout()))
	if failure != nil {
		n.refuseUnread(w, r, info, failure.status, failure.retryAfter, failure.Error())
		return
	}
	if !n.callerShares.begin(route.Name) {
		n.refuse(w, info, http.StatusServiceUnavailable, shedRetryAfter, errNoRunRoom.Error())
		return
	}
	defer n.callerShares.end(route.Name)
	c.request = leafconn.Request{
		Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: n.codec.ForwardedHeader(r.Header),
		Body: body, HasBody: r.ContentLength != 0 || len(body) > 0 || r.Header.Get("Content-Length") != "",
	}
	if n.refusesCall(c) {
		n.refuse(w, info, http.StatusServiceUnavailable, otherVMRetryAfter, string(errs.ReasonDraining))
		return
	}
	c.fingerprint = n.fingerprint(c)
	if n.refuseQuarantined(w, c) {
		return
	}
	if n.delegate(w, r, c) {
		return
	}
	if !n.leavesListed.Load() {
		n.refuse(w, info, http.StatusServiceUnavailable, n.syncedIn(), "no leaves yet")
		return
	}
	if !n.reserveRun(c) {
		n.refuse(w, info, http.StatusServiceUnavailable, shedRetryAfter, errNoRunRoom.Error())
		return
	}
	defer n.release(c)
	if !n.execute(r.Context(), w, c) {
		// The caller has left; aborting the handler closes the connection.
		panic(http.ErrAbortHandler)
	}
}

// syncedIn returns when a caller may retry that reached this node before it had a
// configuration and leaves. An earlier retry would meet another node that has just
// started.
func (n *Node) syncedIn() time.Duration { return max(syncTime-n.now(), minSyncRetryAfter) }

// refuse answers a request that has not run and will not run.
func (n *Node) refuse(w http.ResponseWriter, info RequestInfo, status int, retryAfter time.Duration, reason string) {
	n.metrics.refused.Inc(1)
	klog.ErrorS(nil, "Refused", "request", info.RequestID, "status", status, "retryAfter", retryAfter, "why", reason)
	n.codec.SetRefusalHeader(w.Header(), info.RequestID, retryAfter)
	http.Error(w, reason, status)
}
