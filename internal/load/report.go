package load

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range of the latency histogram in microseconds, and its precision.
	minLatencyUS             = 1
	maxLatencyUS             = 60_000_000
	latencySignificantDigits = 3
)

// Report holds the results of a run.
type Report struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Complete int            `json:"complete"`
	Errors   map[string]int `json:"errors,omitempty"`
	// MinCoverage and MeanCoverage are shares of the data, over all answered
	// requests.
	MinCoverage  float64 `json:"min_coverage"`
	MeanCoverage float64 `json:"mean_coverage"`
	// Percentiles of the latency in milliseconds. The latency of a request starts
	// at the time when the request was due.
	P50MS   float64       `json:"p50_ms"`
	P99MS   float64       `json:"p99_ms"`
	P999MS  float64       `json:"p999_ms"`
	Elapsed time.Duration `json:"took_ns"`

	latency     *hdrhistogram.Histogram
	coverageSum float64
}

func newReport() *Report {
	return &Report{
		Errors: make(map[string]int), MinCoverage: 1,
		latency: hdrhistogram.New(minLatencyUS, maxLatencyUS, latencySignificantDigits),
	}
}

// add records the result of one request.
func (r *Report) add(result requestResult) {
	r.Sent++
	if result.errorName != "" {
		r.Errors[result.errorName]++
		return
	}
	r.Answered++
	if result.coverage >= 1 {
		r.Complete++
	}
	r.coverageSum += result.coverage
	r.MinCoverage = min(r.MinCoverage, result.coverage)
	_ = r.latency.RecordValue(max(result.latency.Microseconds(), minLatencyUS))
}

func (r *Report) finish(elapsed time.Duration) {
	r.Elapsed = elapsed
	if r.Answered > 0 {
		r.MeanCoverage = r.coverageSum / float64(r.Answered)
	}
	quantile := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	r.P50MS, r.P99MS, r.P999MS = quantile(50), quantile(99), quantile(99.9)
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "sent %d, answered %d, complete %d in %.1f s\n", r.Sent, r.Answered, r.Complete, r.Elapsed.Seconds())
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
