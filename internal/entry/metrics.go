package entry

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/query"
)

// Parameters of the exponentially decaying sample of coverage, which favours the
// values of the last minutes.
const (
	coverageSampleSize  = 1028
	coverageSampleAlpha = 0.015
)

// entryMetrics holds the metrics of the queries of one entry: latency, coverage,
// sends to leaves beyond the first ones, and refusals, which show whether the
// removal of a zone affects callers.
type entryMetrics struct {
	latency      metrics.Timer
	coverage     metrics.Histogram
	firstSends   metrics.Counter
	extraSends   metrics.Counter
	strayReplies metrics.Counter
	restarts     metrics.Counter
	refused      metrics.Counter
	complete     metrics.Counter
	partial      metrics.Counter
}

func newEntryMetrics(r metrics.Registry) *entryMetrics {
	sample := metrics.NewExpDecaySample(coverageSampleSize, coverageSampleAlpha)
	m := &entryMetrics{
		latency:      metrics.GetOrRegisterTimer("query.latency", r),
		coverage:     metrics.GetOrRegisterHistogram("query.coverage_permille", r, sample),
		firstSends:   metrics.GetOrRegisterCounter("leaf.first_sends", r),
		extraSends:   metrics.GetOrRegisterCounter("leaf.extra_sends", r),
		strayReplies: metrics.GetOrRegisterCounter("leaf.stray_replies", r),
		restarts:     metrics.GetOrRegisterCounter("query.snapshot_restarts", r),
		refused:      metrics.GetOrRegisterCounter("query.refused", r),
		complete:     metrics.GetOrRegisterCounter("query.complete", r),
		partial:      metrics.GetOrRegisterCounter("query.partial", r),
	}
	return m
}

func (m *entryMetrics) recordQuery(took time.Duration, a query.Answer, shards int, c query.Counters) {
	m.latency.Update(took)
	if a.TotalWeight > 0 {
		m.coverage.Update(int64(1000 * a.CoveredWeight / a.TotalWeight))
	}
	if a.CoveredWeight == a.TotalWeight {
		m.complete.Inc(1)
	} else {
		m.partial.Inc(1)
	}
	m.firstSends.Inc(int64(shards))
	m.extraSends.Inc(int64(c.Hedges + c.Retries + c.Moves))
	m.strayReplies.Inc(int64(c.Strays()))
	m.restarts.Inc(int64(c.Restarts))
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
