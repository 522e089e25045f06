package relay

import (
	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// relayMetrics counts the leaf requests of one relay.
type relayMetrics struct {
	registry metrics.Registry
	sent     metrics.Counter
	failed   metrics.Counter
	runTime  metrics.Timer
}

func newRelayMetrics(r metrics.Registry) *relayMetrics {
	return &relayMetrics{
		registry: r,
		sent:     metrics.GetOrRegisterCounter("leaf.sent", r),
		failed:   metrics.GetOrRegisterCounter("leaf.failed", r),
		runTime:  metrics.GetOrRegisterTimer("leaf.run_time", r),
	}
}

// countRefusal counts a refusal by its reason.
func (m *relayMetrics) countRefusal(reason errs.Reason) {
	metrics.GetOrRegisterCounter("leaf.refused."+string(reason), m.registry).Inc(1)
}

// countResult counts the outcome of a dispatched request.
func (m *relayMetrics) countResult(r *leafResult) {
	if r.err != nil {
		m.failed.Inc(1)
		return
	}
	m.runTime.Update(r.runTime)
}
