package gateway

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/leafconn"
)

// Parameters of the exponentially decaying samples of the histograms, as in the
// documentation of go-metrics.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// nodeMetrics are the counters and latency histograms of a node. Times are in
// milliseconds.
type nodeMetrics struct {
	registry metrics.Registry

	requests, answered, partial, refused, failed, callerGone metrics.Counter
	// extraSends counts the leafSends that are not the first attempt at a shard.
	leafSends, extraSends, leafFailures metrics.Counter
	leafDials                           metrics.Counter
	// connectionsLost counts the leaf requests whose connection was lost, leavesEnded those
	// of them whose leaf has ended.
	connectionsLost, leavesEnded metrics.Counter
	// repliesDiscarded counts the replies of leaves that this VM did not keep since they were
	// too long or took too much memory.
	repliesDiscarded metrics.Counter
	// quarantined counts the requests that were refused since they crash leaves.
	quarantined                        metrics.Counter
	storeCalls, storeErrors, peerCalls metrics.Counter
	// callersRefused counts the connections and heads that were refused, callersEvicted the
	// connections that were closed to make room for other callers.
	callersRefused, callersEvicted metrics.Counter
	// delegated counts the queries that another VM ran for this one, aggregated
	// those that this VM ran for others.
	delegated, aggregated metrics.Counter
	latency, leafLatency  metrics.Histogram
	// degradedStates is the number of states that limit the service, degradedOldest
	// the seconds since the first of them began.
	degradedStates, degradedOldest metrics.Gauge
	statements                     *statementMetrics
	// copyAge is the age of the copy of each kind of the store's objects, in
	// milliseconds.
	copyAge map[directory.Kind]metrics.Gauge
}

func newNodeMetrics(r metrics.Registry, replyMemory *leafconn.Memory) *nodeMetrics {
	metrics.NewRegisteredFunctionalGauge("reply_memory_bytes", r, replyMemory.Taken)
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	copyAge := make(map[directory.Kind]metrics.Gauge)
	for _, kind := range directory.Kinds {
		copyAge[kind] = metrics.NewRegisteredGauge("copy_age_ms_"+kind.String(), r)
	}
	return &nodeMetrics{
		registry: r, copyAge: copyAge, requests: counter("requests_total"), answered: counter("requests_answered_total"),
		partial: counter("requests_partial_total"), refused: counter("requests_refused_total"),
		failed: counter("requests_failed_total"), callerGone: counter("requests_caller_gone_total"),
		leafSends: counter("leaf_requests_total"), extraSends: counter("leaf_requests_extra_total"),
		leafFailures: counter("leaf_failures_total"), leafDials: counter("leaf_connections_total"),
		connectionsLost: counter("leaf_requests_connection_lost_total"), leavesEnded: counter("leaf_requests_leaf_ended_total"),
		repliesDiscarded: counter("leaf_replies_discarded_total"),
		quarantined:      counter("requests_quarantined_total"),
		storeCalls:       counter("store_calls_total"), storeErrors: counter("store_errors_total"),
		peerCalls:      counter("peer_calls_total"),
		callersRefused: counter("callers_refused_total"), callersEvicted: counter("callers_evicted_total"),
		delegated: counter("requests_delegated_total"), aggregated: counter("requests_aggregated_total"),
		latency: histogram("request_ms"), leafLatency: histogram("leaf_request_ms"),
		statements:     newStatementMetrics(r),
		degradedStates: metrics.NewRegisteredGauge("degraded_states", r),
		degradedOldest: metrics.NewRegisteredGauge("degraded_oldest_seconds", r),
	}
}

// registerCallers adds what callers take.
func (m *nodeMetrics) registerCallers(c *callerConns) {
	metrics.NewRegisteredFunctionalGauge("caller_connections", m.registry, c.open)
	metrics.NewRegisteredFunctionalGauge("run_memory_bytes", m.registry, c.node.runMemory.Taken)
	metrics.NewRegisteredFunctionalGauge("caller_memory_bytes", m.registry, c.taken)
}

// ServeHTTP writes the metrics as text, one per line.
func (m *nodeMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	lines := m.statements.lines()
	m.registry.Each(func(name string, metric any) {
		switch v := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()))
			for _, q := range []float64{0.5, 0.9, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, q, s.Percentile(q)))
			}
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			klog.V(1).InfoS("Failed to write the metrics", "err", err)
			return
		}
	}
}
