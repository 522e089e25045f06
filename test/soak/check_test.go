package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// settleTime is the time without faults after which time bounds apply.
	settleTime = 4 * time.Second
	// drainBound limits the time until a leaving leaf receives no more requests,
	// and changeBound the time until an accepted version of the configuration is
	// active.
	drainBound  = 3 * time.Second
	changeBound = 3 * time.Second
	// rollbackBound limits the time after the first answer under a version during
	// which the node may still answer new requests under an older one.
	rollbackBound = 250 * time.Millisecond
	// closeBound is the time after which a sent request must have reached the
	// node, so that the node may no longer close the connection without an answer.
	closeBound = 200 * time.Millisecond
	// disconnectBound limits the time after a caller disconnects during which a
	// leaf may still start its request.
	disconnectBound = 500 * time.Millisecond
)

// check compares the recorded requests, faults and changes with the runs at the
// leaves and records each violation in the history.
func (s *system) check() {
	h := s.history
	runs := make(map[string]int)
	for _, l := range s.leaves {
		for _, run := range l.Runs() {
			runs[run.RequestID]++
			r := h.requests[run.RequestID]
			switch {
			case r == nil:
				h.addViolation("unsolicited", "leaf %s ran %q, which no caller sent", l.ID, run.RequestID)
				continue
			case r.target != run.Target || r.method != run.Method || r.payload != run.Body:
				h.addViolation("unsolicited", "leaf %s ran %s as %s %s %q", l.ID, r.id, run.Method, run.Target, run.Body)
			case !r.disconnected.IsZero() && run.At.After(r.disconnected.Add(disconnectBound)) && !h.hasFault(r.node, r.disconnected.Add(-settleTime), run.At):
				// A node that was paused detects the disconnect late, so faults are excluded.
				h.addViolation("caller-gone", "leaf %s started %s %s after its caller disconnected", l.ID, r.id, run.At.Sub(r.disconnected))
			}
			for _, d := range h.drains[l.ID] {
				late := run.At.After(d.from.Add(drainBound)) && run.At.Before(d.to)
				if late && !h.hasFault(r.node, d.from.Add(-settleTime), run.At) {
					h.addViolation("drain", "leaf %s started %s %s after it began to leave", l.ID, r.id, run.At.Sub(d.from))
				}
			}
		}
	}
	firstSuccess := make(map[string]time.Time)
	for _, r := range h.completed {
		s.checkAnswer(r)
		s.checkRuns(r, runs[r.id])
		s.checkClose(r)
		s.checkVersion(r, firstSuccess)
	}
}

// checkRuns checks that a POST request runs at most once, and never if it was
// refused.
func (s *system) checkRuns(r *request, runs int) {
	if r.method == http.MethodPost && runs > 1 {
		s.history.addViolation("duplicate", "%s ran %d times", r.id, runs)
	}
	refusals := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	refused := r.err == nil && slices.Contains(refusals, r.status)
	if r.method == http.MethodPost && refused && runs > 0 {
		s.history.addViolation("refused", "%s was refused with %d and ran", r.id, r.status)
	}
}

// checkClose checks that a node without faults doesn't close a connection before
// it has answered the request.
func (s *system) checkClose(r *request) {
	if r.err == nil || !r.disconnected.IsZero() || r.completed.Sub(r.sent) < closeBound {
		return
	}
	if s.history.hasFault(r.node, r.sent.Add(-settleTime), r.completed) {
		return
	}
	s.history.addViolation("lost", "%s at %s: %v, %s after it was sent", r.id, r.node, r.err, r.completed.Sub(r.sent))
}

// checkVersion checks that an accepted version is active within changeBound and that
// no node returns to an older version. Each version adds a route, so a node that
// answers 404 to it uses an older version. firstSuccess holds the time of the first
// success per route and boot of a node.
func (s *system) checkVersion(r *request, firstSuccess map[string]time.Time) {
	h := s.history
	if !strings.HasPrefix(r.target, "/new-") || r.err != nil {
		return
	}
	route, _, _ := strings.Cut(r.target[1:], "/")
	key := fmt.Sprintf("%s %s %d", route, r.node, r.boot)
	if r.status != http.StatusNotFound {
		if at, ok := firstSuccess[key]; r.status == http.StatusOK && (!ok || r.completed.Before(at)) {
			firstSuccess[key] = r.completed
		}
		return
	}
	if at, ok := firstSuccess[key]; ok && r.sent.After(at.Add(rollbackBound)) {
		h.addViolation("rollback", "%s has no route %s %s after it had served it", r.node, route, r.sent.Sub(at))
	}
	accepted := h.accepted[r.version]
	if !accepted.IsZero() && r.sent.After(accepted.Add(changeBound)) && !h.hasFault(r.node, accepted.Add(-settleTime), r.sent) {
		h.addViolation("config", "%s has no route %s %s after its version was accepted", r.node, route, r.sent.Sub(accepted))
	}
}

// checkAnswer checks that a successful answer belongs to its request and that a
// merged answer has consistent parts, enough of them, and the right records.
func (s *system) checkAnswer(r *request) {
	if r.err != nil || r.status != http.StatusOK {
		return
	}
	if !strings.HasPrefix(r.target, "/query/") {
		if r.response != "single" || !strings.HasSuffix(r.header.Get("X-Response-Stamp"), "."+r.id) {
			s.history.addViolation("mixed", "%s got %q with receipt %q", r.id, r.response, r.header.Get("X-Response-Stamp"))
		}
		return
	}
	if problem := checkParts(r); problem != "" {
		s.history.addViolation("mixed", "%s: %s; receipts %q", r.id, problem, r.header.Get("X-Part-Stamps"))
	}
}

// checkParts describes what is wrong with the answer to a query. It returns "" for
// a correct answer.
func checkParts(r *request) string {
	var records []string
	// seen holds the services of the parts and their common prefix.
	seen := make(map[string]bool)
	for _, receipt := range strings.Split(r.header.Get("X-Part-Stamps"), ", ") {
		leafID, requestID, _ := strings.Cut(receipt, ".")
		service, _, _ := strings.Cut(leafID, "-")
		switch {
		case requestID != r.id:
			return "receipt of another request"
		case seen[service]:
			return "two parts from one shard"
		case service[:1] != shardPrefix(0) && service[:1] != shardPrefix(1):
			return "part from an unknown shard"
		case len(seen) > 0 && !seen[service[:1]]:
			return "parts from two versions"
		}
		seen[service], seen[service[:1]] = true, true
		shard, _ := strconv.Atoi(service[1:])
		// Each shard returns two records: a letter of its own in lower and upper case.
		firstLetter := map[string]byte{"s": 'a', "t": 'g'}[service[:1]]
		records = append(records, recordText(firstLetter, shard), recordText(firstLetter-'a'+'A', shard))
	}
	parts := len(seen) - 1
	missing, err := strconv.Atoi(r.header.Get("X-Missing-Parts"))
	if err != nil || parts+missing != shards {
		return fmt.Sprintf("%d parts and %q missing parts", parts, r.header.Get("X-Missing-Parts"))
	}
	if float64(parts) < minCoverage*shards {
		return "too few parts"
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:topK], ""); r.response != want {
		return fmt.Sprintf("records %q, want %q", r.response, want)
	}
	return ""
}
