package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// history is what callers, leaves and the operator have seen.
type history struct {
	mu       sync.Mutex
	requests map[string]*request
	order    []*request
	// faults are the times in which something was broken, by what.
	faults []fault
	// drains are the times in which leaves were leaving, by leaf, changed when the
	// store took a version.
	drains     map[string][]fault
	changed    map[int]time.Time
	violations []string
}

// fault is a time in which something was broken. A node that is empty means all.
type fault struct {
	what, node string
	from, to   time.Time
}

func newHistory() *history {
	return &history{requests: make(map[string]*request), drains: make(map[string][]fault), changed: make(map[int]time.Time)}
}

func (h *history) sending(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.id] = r
}

func (h *history) ended(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order = append(h.order, r)
}

func (h *history) violation(rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, rule+": "+fmt.Sprintf(format, args...))
}

// begin notes that something is broken; the returned function ends it.
func (h *history) begin(what, node string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fault{what: what, node: node, from: time.Now(), to: time.Now().Add(time.Hour)})
	i := len(h.faults) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[i].to = time.Now()
	}
}

// disturbed reports whether something was broken in a time for a node or for the
// others of its zone, which may be its aggregators.
func (h *history) disturbed(node string, from, to time.Time) bool {
	zone, _, _ := strings.Cut(node, "-")
	for _, f := range h.faults {
		if (f.node == "" || strings.HasPrefix(f.node, zone+"-")) && f.from.Before(to) && f.to.After(from) {
			return true
		}
	}
	return false
}
