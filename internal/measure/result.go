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

// Result is what one run measured after the ramp. Latencies are a caller's.
type Result struct {
	Scenario Scenario
	Size     Size
	Policy   Policy
	Seed     uint64

	// Main holds the measured class, Side the one of lower priority.
	Main, LowPriority ClassStats
	// Firsts and Extra count sends: first ones, and hedges, retries and moves.
	FirstSends, ExtraSends int
	// OverBudget is the most by which the extra sends of an entry exceeded the
	// share of its first ones.
	MaxBudgetExcess float64
	// ColdViolations counts requests beyond the one that a cold leaf bears.
	ColdViolations int
	// LateWork is how long after an edit that takes an availability zone out
	// the zone's leaves last began a request.
	LastStartAfterZoneOut time.Duration
	// Falls is how often a leaf fell from warm to cold, by the tracker's reason.
	Demotions map[string]int
	// NotWarm is the number of relays whose leaf was not warm at the end.
	NotWarm int

	zoneChanges []timeWindow
}

// window is a time during which an availability zone leaves or returns.
type timeWindow struct{ from, to time.Duration }

// Figures are the measures of one class.
type ClassStats struct {
	Latency  *hdrhistogram.Histogram
	Answered int
	Refused  int
	// coverage is the sum over all queries; a refused one covers nothing.
	coverageSum float64
	// Worst is the lowest coverage of an answer.
	WorstCoverage float64
	// Hedges, Retries, Moves and Denied count extra sends and those that the
	// budget or the lack of another leaf prevented.
	Hedges, Retries, Moves, Denied uint64
	// Changing and ChangingFull count the queries during a change of
	// availability zones, and those of them with full coverage.
	DuringZoneChange, FullDuringZoneChange int
}

func newClassStats() ClassStats {
	return ClassStats{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits), WorstCoverage: 1}
}

// Mean is the mean coverage of all queries.
func (f *ClassStats) MeanCoverage() float64 {
	return f.coverageSum / float64(max(f.Answered+f.Refused, 1))
}

// Service is the share of the queries with full coverage during a change.
func (f *ClassStats) FullCoverageShare() float64 {
	return float64(f.FullDuringZoneChange) / float64(max(f.DuringZoneChange, 1))
}

// At returns a percentile of the latency.
func (f *ClassStats) LatencyPercentile(percentile float64) time.Duration {
	return time.Duration(f.Latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// ExtraShare is the extra load as a share of first sends.
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
	f := r.stats(c)
	f.Answered++
	_ = f.Latency.RecordValue((now - arrived + 2*callerDelay).Microseconds())
	share := float64(covered) / float64(max(total, 1))
	f.coverageSum += share
	f.WorstCoverage = min(f.WorstCoverage, share)
	r.countZoneChange(f, arrived, covered == total)
}

func (r *Result) recordRefusal(c *topology.Class, arrived time.Duration) {
	if arrived < rampTime {
		return
	}
	f := r.stats(c)
	f.Refused++
	r.countZoneChange(f, arrived, false)
}

func (r *Result) countZoneChange(f *ClassStats, arrived time.Duration, full bool) {
	for _, w := range r.zoneChanges {
		if arrived < w.from || arrived >= w.to {
			continue
		}
		f.DuringZoneChange++
		if full {
			f.FullDuringZoneChange++
		}
		return
	}
}

func (f *ClassStats) addCounters(c query.Counters) {
	f.Hedges += c.Hedges
	f.Retries += c.Retries
	f.Moves += c.Moves
	f.Denied += c.Denied
}

func (r *Result) countDemotions(transitions []warmup.Transition) {
	for _, c := range transitions {
		if c.From == warmup.Warm && c.To == warmup.Cold {
			r.Demotions[c.Reason]++
		}
	}
}

func (r *Result) countBaselineSend() { r.FirstSends++ }
