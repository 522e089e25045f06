package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range and precision of the latency histogram, in microseconds.
	minLatencyUS = 1
	maxLatencyUS = 60_000_000
	precision    = 3
)

// Report is the outcome of a run.
type Report struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Complete int            `json:"complete"`
	Errors   map[string]int `json:"errors,omitempty"`
	// MinCoverage and MeanCoverage are shares of the data, over all answers.
	MinCoverage  float64 `json:"min_coverage"`
	MeanCoverage float64 `json:"mean_coverage"`
	// Latencies in milliseconds, counted from when a request was due.
	P50MS  float64       `json:"p50_ms"`
	P99MS  float64       `json:"p99_ms"`
	P999MS float64       `json:"p999_ms"`
	Took   time.Duration `json:"took_ns"`

	latency  *hdrhistogram.Histogram
	coverage float64
}

func newReport() *Report {
	return &Report{
		Errors: make(map[string]int), MinCoverage: 1,
		latency: hdrhistogram.New(minLatencyUS, maxLatencyUS, precision),
	}
}

// add counts one request.
func (r *Report) add(o outcome) {
	r.Sent++
	if o.err != "" {
		r.Errors[o.err]++
		return
	}
	r.Answered++
	if o.coverage >= 1 {
		r.Complete++
	}
	r.coverage += o.coverage
	r.MinCoverage = min(r.MinCoverage, o.coverage)
	_ = r.latency.RecordValue(max(o.took.Microseconds(), minLatencyUS))
}

func (r *Report) finish(took time.Duration) {
	r.Took = took
	if r.Answered > 0 {
		r.MeanCoverage = r.coverage / float64(r.Answered)
	}
	quantile := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	r.P50MS, r.P99MS, r.P999MS = quantile(50), quantile(99), quantile(99.9)
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "sent %d, answered %d, complete %d in %.1f s\n", r.Sent, r.Answered, r.Complete, r.Took.Seconds())
	fmt.Fprintf(w, "latency p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", r.P50MS, r.P99MS, r.P999MS)
	fmt.Fprintf(w, "coverage mean %.2f%%, worst %.2f%%\n", 100*r.MeanCoverage, 100*r.MinCoverage)
	reasons := make([]string, 0, len(r.Errors))
	for reason := range r.Errors {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(w, "failed %d: %s\n", r.Errors[reason], reason)
	}
}
