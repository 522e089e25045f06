package measure

import (
	"fmt"
	"strings"
)

// Variant is a policy with a name for tables.
type Variant struct {
	Name   string
	Policy Policy
}

// HedgeVariants returns variants of the current policy with other hedge delays
// and hedge shares.
func HedgeVariants() []Variant {
	var out []Variant
	for _, share := range []float64{0.5, 0.8} {
		for _, percentile := range []float64{0.90, 0.95, 0.98, 0.99} {
			p := Current()
			p.HedgePercentile, p.HedgeShare = percentile, share
			out = append(out, Variant{Name: fmt.Sprintf("p%.0f share %.1f", 100*percentile, share), Policy: p})
		}
	}
	return out
}

// Ablations returns the current policy, the current policy without each of its
// features, with another hedge delay, and with ProbeOnClose, which the current
// policy does not include.
func Ablations() []Variant {
	variant := func(name string, change func(*Policy)) Variant {
		p := Current()
		change(&p)
		return Variant{Name: name, Policy: p}
	}
	return []Variant{
		{Name: "current", Policy: Current()},
		variant("p98 delay", func(p *Policy) { p.HedgePercentile = 0.98 }),
		variant("-cold-first", func(p *Policy) { p.ColdFirst = false }),
		variant("-keep-runs", func(p *Policy) { p.KeepColdRuns = false }),
		variant("-censored", func(p *Policy) { p.CancelCensored = false }),
		variant("+probe-close", func(p *Policy) { p.ProbeOnClose = true }),
		variant("-slow-last", func(p *Policy) { p.SlowLast = false }),
		variant("-per-class", func(p *Policy) { p.DelayPerClass = false }),
		variant("-others-load", func(p *Policy) { p.ExcludeOwnLoad = false }),
		variant("-reserve", func(p *Policy) { p.ReserveBudget = false }),
	}
}

// PooledResult holds the measurements of a variant in a scenario, added up over
// several seeds.
type PooledResult struct {
	Variant        string
	Scenario       string
	Size           string
	Main           ClassStats
	FirstSends     int
	ExtraSends     int
	ColdViolations int
}

// RunSeeds runs a variant with each seed and adds the measurements up.
func RunSeeds(v Variant, scenario Scenario, size Size, seeds []uint64) *PooledResult {
	out := &PooledResult{Variant: v.Name, Scenario: scenario.Name, Size: size.Name, Main: newClassStats()}
	for _, seed := range seeds {
		r := Run(scenario, size, v.Policy, seed)
		out.Main.add(&r.Main)
		out.FirstSends += r.FirstSends
		out.ExtraSends += r.ExtraSends
		out.ColdViolations += r.ColdViolations
	}
	return out
}

func (stats *ClassStats) add(other *ClassStats) {
	stats.Latency.Merge(other.Latency)
	stats.Answered += other.Answered
	stats.Refused += other.Refused
	stats.coverageSum += other.coverageSum
	stats.WorstCoverage = min(stats.WorstCoverage, other.WorstCoverage)
	stats.Denied += other.Denied
}

// VariantReport returns a table of pooled results. Latencies are in
// milliseconds.
func VariantReport(rows []*PooledResult) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-14s %-12s %-14s %6s %6s %6s  %6s %6s %6s %4s\n",
		"scenario", "size", "variant", "p50", "p99", "p99.9", "mean", "extra", "denied", "cold")
	for _, r := range rows {
		stats := &r.Main
		fmt.Fprintf(&out, "%-14s %-12s %-14s %6.1f %6.1f %6.1f  %6.4f %5.2f%% %6d %4d\n",
			r.Scenario, r.Size, r.Variant, millis(stats.LatencyPercentile(50)), millis(stats.LatencyPercentile(99)), millis(stats.LatencyPercentile(99.9)),
			stats.MeanCoverage(), 100*float64(r.ExtraSends)/float64(max(r.FirstSends, 1)), stats.Denied, r.ColdViolations)
	}
	return out.String()
}
