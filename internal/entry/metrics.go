package entry

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/query"
)

// Sizes of the latency sample, which favours the last minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// entryMetrics holds the four measures of the brief as far as one entry sees
// them: tail latency, coverage, extra load, and refusals while a zone leaves.
type entryMetrics struct {
	latency   metrics.Timer
	coverage  metrics.Histogram
	firsts    metrics.Counter
	extra     metrics.Counter
	strays    metrics.Counter
	restarts  metrics.Counter
	refused   metrics.Counter
	completes metrics.Counter
	partials  metrics.Counter
}

func newEntryMetrics(r metrics.Registry) *entryMetrics {
	sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
	m := &entryMetrics{
		latency:   metrics.GetOrRegisterTimer("query.latency", r),
		coverage:  metrics.GetOrRegisterHistogram("query.coverage_permille", r, sample),
		firsts:    metrics.GetOrRegisterCounter("leaf.first_sends", r),
		extra:     metrics.GetOrRegisterCounter("leaf.extra_sends", r),
		strays:    metrics.GetOrRegisterCounter("leaf.stray_replies", r),
		restarts:  metrics.GetOrRegisterCounter("query.snapshot_restarts", r),
		refused:   metrics.GetOrRegisterCounter("query.refused", r),
		completes: metrics.GetOrRegisterCounter("query.complete", r),
		partials:  metrics.GetOrRegisterCounter("query.partial", r),
	}
	return m
}

func (m *entryMetrics) done(took time.Duration, a query.Answer, shards int, c query.Counters) {
	m.latency.Update(took)
	if a.TotalWeight > 0 {
		m.coverage.Update(int64(1000 * a.CoveredWeight / a.TotalWeight))
	}
	if a.CoveredWeight == a.TotalWeight {
		m.completes.Inc(1)
	} else {
		m.partials.Inc(1)
	}
	m.firsts.Inc(int64(shards))
	m.extra.Inc(int64(c.Hedges + c.Retries + c.Moves))
	m.strays.Inc(int64(c.Strays()))
	m.restarts.Inc(int64(c.Restarts))
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
