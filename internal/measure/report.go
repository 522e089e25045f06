package measure

import (
	"fmt"
	"strings"
	"time"
)

const rowFormat = "%-14s %-12s %-9s %6.1f %6.1f %6.1f  %6.4f %6.4f  %5.2f%% %5.1f %5d %6d %8s %5d\n"

// Report returns a table of results. Latencies are in milliseconds.
func Report(results []*Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-14s %-12s %-9s %6s %6s %6s  %6s %6s  %6s %5s %5s %6s %8s %5s\n",
		"scenario", "size", "policy", "p50", "p99", "p99.9", "mean", "worst", "extra", "over", "cold", "refusd", "service", "!warm")
	for _, r := range results {
		out.WriteString(r.row(r.Policy.Name(), &r.Main))
		if r.Scenario.Overload {
			out.WriteString(r.row("  lower", &r.LowPriority))
		}
	}
	return out.String()
}

func (r *Result) row(name string, stats *ClassStats) string {
	service := "-"
	if r.Scenario.ZoneChanges {
		service = fmt.Sprintf("%.4f", stats.FullCoverageShare())
	}
	return fmt.Sprintf(rowFormat, r.Scenario.Name, r.Size.Name, name,
		millis(stats.LatencyPercentile(50)), millis(stats.LatencyPercentile(99)), millis(stats.LatencyPercentile(99.9)), stats.MeanCoverage(), stats.WorstCoverage,
		100*r.ExtraShare(), r.MaxBudgetExcess, r.ColdViolations, stats.Refused, service, r.NotWarm)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
