package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

const (
	highestLatency = 10 * time.Second
	latencyDigits  = 3
)

// Result is what one run measured after the ramp. Latencies are a caller's.
type Result struct {
	Scenario Scenario
	Size     Size
	Policy   Policy
	Seed     uint64

	// Main holds the measured class, Side the one of lower priority.
	Main, Side Figures
	// Firsts and Extra count sends: first ones, and hedges, retries and moves.
	Firsts, Extra int
	// OverBudget is the most by which the extra sends of an entry exceeded the
	// share of its first ones.
	OverBudget float64
	// ColdViolations counts requests beyond the one that a cold leaf bears.
	ColdViolations int
	// LateWork is how long after an edit that takes an availability zone out
	// the zone's leaves last began a request.
	LateWork time.Duration
	// Falls is how often a leaf fell from warm to cold, by the tracker's reason.
	Falls map[string]int
	// NotWarm is the number of relays whose leaf was not warm at the end.
	NotWarm int

	windows []window
}

// window is a time during which an availability zone leaves or returns.
type window struct{ from, to time.Duration }

// Figures are the measures of one class.
type Figures struct {
	Latency  *hdrhistogram.Histogram
	Answered int
	Refused  int
	// coverage is the sum over all queries; a refused one covers nothing.
	coverage float64
	// Worst is the lowest coverage of an answer.
	Worst float64
	// Hedges, Retries, Moves and Denied count extra sends and those that the
	// budget or the lack of another leaf prevented.
	Hedges, Retries, Moves, Denied uint64
	// Changing and ChangingFull count the queries during a change of
	// availability zones, and those of them with full coverage.
	Changing, ChangingFull int
}

func newFigures() Figures {
	return Figures{Latency: hdrhistogram.New(1, highestLatency.Microseconds(), latencyDigits), Worst: 1}
}

// Mean is the mean coverage of all queries.
func (f *Figures) Mean() float64 { return f.coverage / float64(max(f.Answered+f.Refused, 1)) }

// Service is the share of the queries with full coverage during a change.
func (f *Figures) Service() float64 { return float64(f.ChangingFull) / float64(max(f.Changing, 1)) }

// At returns a percentile of the latency.
func (f *Figures) At(percentile float64) time.Duration {
	return time.Duration(f.Latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// ExtraShare is the extra load as a share of first sends.
func (r *Result) ExtraShare() float64 { return float64(r.Extra) / float64(max(r.Firsts, 1)) }

func (r *Result) figures(c *topology.Class) *Figures {
	if c.ID == r.Size.Main.ID {
		return &r.Main
	}
	return &r.Side
}

func (r *Result) answered(c *topology.Class, arrived, now time.Duration, covered, total uint64) {
	if arrived < rampTime {
		return
	}
	f := r.figures(c)
	f.Answered++
	_ = f.Latency.RecordValue((now - arrived + 2*callerDelay).Microseconds())
	share := float64(covered) / float64(max(total, 1))
	f.coverage += share
	f.Worst = min(f.Worst, share)
	r.changing(f, arrived, covered == total)
}

func (r *Result) refused(c *topology.Class, arrived time.Duration) {
	if arrived < rampTime {
		return
	}
	f := r.figures(c)
	f.Refused++
	r.changing(f, arrived, false)
}

func (r *Result) changing(f *Figures, arrived time.Duration, full bool) {
	for _, w := range r.windows {
		if arrived < w.from || arrived >= w.to {
			continue
		}
		f.Changing++
		if full {
			f.ChangingFull++
		}
		return
	}
}

func (f *Figures) count(c query.Counters) {
	f.Hedges += c.Hedges
	f.Retries += c.Retries
	f.Moves += c.Moves
	f.Denied += c.Denied
}

func (r *Result) fell(changes []warmup.Transition) {
	for _, c := range changes {
		if c.From == warmup.Warm && c.To == warmup.Cold {
			r.Falls[c.Reason]++
		}
	}
}

func (r *Result) plainSend() { r.Firsts++ }
