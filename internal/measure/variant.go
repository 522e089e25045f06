package measure

import (
	"fmt"
	"strings"
)

// Variant is a named change of a policy.
type Variant struct {
	Name   string
	Policy Policy
}

// HedgeVariants change when hedges are sent and how many may be.
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

// Ablations are the current policy, it without each of its changes, and with the one that was not adopted.
func Ablations() []Variant {
	without := func(name string, change func(*Policy)) Variant {
		p := Current()
		change(&p)
		return Variant{Name: name, Policy: p}
	}
	return []Variant{
		{Name: "current", Policy: Current()},
		without("p98 delay", func(p *Policy) { p.HedgePercentile = 0.98 }),
		without("-cold-first", func(p *Policy) { p.ColdFirst = false }),
		without("-keep-runs", func(p *Policy) { p.KeepColdRuns = false }),
		without("-censored", func(p *Policy) { p.CancelCensored = false }),
		without("+probe-close", func(p *Policy) { p.ProbeOnClose = true }),
		without("-slow-last", func(p *Policy) { p.SlowLast = false }),
		without("-per-class", func(p *Policy) { p.DelayPerClass = false }),
		without("-others-load", func(p *Policy) { p.ExcludeOwnLoad = false }),
		without("-reserve", func(p *Policy) { p.ReserveBudget = false }),
	}
}

// Pooled is what one variant measured in a scenario over several seeds.
type PooledResult struct {
	Variant        string
	Scenario       string
	Size           string
	Main           ClassStats
	FirstSends     int
	ExtraSends     int
	ColdViolations int
}

// Pool runs a variant with each seed and adds the figures up.
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

func (f *ClassStats) add(o *ClassStats) {
	f.Latency.Merge(o.Latency)
	f.Answered += o.Answered
	f.Refused += o.Refused
	f.coverageSum += o.coverageSum
	f.WorstCoverage = min(f.WorstCoverage, o.WorstCoverage)
	f.Denied += o.Denied
}

// VariantReport returns a table of pooled figures. Latencies are in
// milliseconds.
func VariantReport(rows []*PooledResult) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-14s %-12s %-14s %6s %6s %6s  %6s %6s %6s %4s\n",
		"scenario", "size", "variant", "p50", "p99", "p99.9", "mean", "extra", "denied", "cold")
	for _, r := range rows {
		f := &r.Main
		fmt.Fprintf(&out, "%-14s %-12s %-14s %6.1f %6.1f %6.1f  %6.4f %5.2f%% %6d %4d\n",
			r.Scenario, r.Size, r.Variant, millis(f.LatencyPercentile(50)), millis(f.LatencyPercentile(99)), millis(f.LatencyPercentile(99.9)),
			f.MeanCoverage(), 100*float64(r.ExtraSends)/float64(max(r.FirstSends, 1)), f.Denied, r.ColdViolations)
	}
	return out.String()
}
