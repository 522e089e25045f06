package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

const (
	maxLatency               = 10 * time.Second
	latencySignificantDigits = 3
)

// Result holds the measurements of one run after the ramp. Latencies are those
// that callers see.
type Result struct {
	Scenario Scenario
	Size     Size
	Policy   Policy
	Seed     uint64

	// Main and LowPriority hold the results of the size's two classes.
	Main, LowPriority ClassStats
	// FirstSends counts first sends, ExtraSends hedges, retries and moves.
	FirstSends, ExtraSends int
	// MaxBudgetExcess is the largest number by which the extra sends of an entry
	// exceeded extraShare of its first sends.
	MaxBudgetExcess float64
	// ColdViolations counts the requests that reached a cold leaf while it ran
	// another one.
	ColdViolations int
	// LastStartAfterZoneOut is the longest time from an edit that takes an
	// availability zone out to the last start of a request in the zone's leaves.
	LastStartAfterZoneOut time.Duration
	// Demotions counts how often a leaf changed from warm to cold, by the
	// tracker's reason.
	Demotions map[string]int
	// NotWarm is the number of relays whose leaf was not warm at the end.
	NotWarm int

	zoneChanges []timeWindow
}

// timeWindow is a time during which an availability zone leaves or returns.
type timeWindow struct{ from, to time.Duration }

// ClassStats holds the measurements of one class.
type ClassStats struct {
	Latency  *hdrhistogram.Histogram
	Answered int
	Refused  int
	// coverageSum is the sum of the coverage of all queries. A refused query
	// counts as 0.
	coverageSum float64
	// WorstCoverage is the lowest coverage of an answer.
	WorstCoverage float64
	// Hedges, Retries and Moves count extra sends, Denied those that the budget
	// or the lack of another leaf prevented.
	Hedges, Retries, Moves, Denied uint64
	// DuringZoneChange counts the queries that arrived while an availability zone
	// left or returned, FullDuringZoneChange those of them with full coverage.
	DuringZoneChange, FullDuringZoneChange int
}

func newClassStats() ClassStats {
	return ClassStats{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits), WorstCoverage: 1}
}

// MeanCoverage returns the mean coverage of all queries.
func (stats *ClassStats) MeanCoverage() float64 {
	return stats.coverageSum / float64(max(stats.Answered+stats.Refused, 1))
}

// FullCoverageShare returns the share of the queries during zone changes that
// got full coverage.
func (stats *ClassStats) FullCoverageShare() float64 {
	return float64(stats.FullDuringZoneChange) / float64(max(stats.DuringZoneChange, 1))
}

// LatencyPercentile returns a percentile of the latency. The median is 50.
func (stats *ClassStats) LatencyPercentile(percentile float64) time.Duration {
	return time.Duration(stats.Latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// ExtraShare returns the extra sends as a share of the first sends.
func (r *Result) ExtraShare() float64 { return float64(r.ExtraSends) / float64(max(r.FirstSends, 1)) }

func (r *Result) stats(c *topology.Class) *ClassStats {
	if c.ID == r.Size.Main.ID {
		return &r.Main
	}
	return &r.LowPriority
}

func (r *Result) recordAnswer(c *topology.Class, arrived, now time.Duration, covered, total uint64) {
	if arrived < rampTime {
		return
	}
	stats := r.stats(c)
	stats.Answered++
	_ = stats.Latency.RecordValue((now - arrived + 2*callerDelay).Microseconds())
	share := float64(covered) / float64(max(total, 1))
	stats.coverageSum += share
	stats.WorstCoverage = min(stats.WorstCoverage, share)
	r.countZoneChange(stats, arrived, covered == total)
}

func (r *Result) recordRefusal(c *topology.Class, arrived time.Duration) {
	if arrived < rampTime {
		return
	}
	stats := r.stats(c)
	stats.Refused++
	r.countZoneChange(stats, arrived, false)
}

func (r *Result) countZoneChange(stats *ClassStats, arrived time.Duration, full bool) {
	for _, w := range r.zoneChanges {
		if arrived < w.from || arrived >= w.to {
			continue
		}
		stats.DuringZoneChange++
		if full {
			stats.FullDuringZoneChange++
		}
		return
	}
}

func (stats *ClassStats) addCounters(counters query.Counters) {
	stats.Hedges += counters.Hedges
	stats.Retries += counters.Retries
	stats.Moves += counters.Moves
	stats.Denied += counters.Denied
}

func (r *Result) countDemotions(transitions []warmup.Transition) {
	for _, t := range transitions {
		if t.From == warmup.Warm && t.To == warmup.Cold {
			r.Demotions[t.Reason]++
		}
	}
}

func (r *Result) countBaselineSend() { r.FirstSends++ }
