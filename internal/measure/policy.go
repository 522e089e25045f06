package measure

// Policy is what a run measures. The zero value is First.
type Policy struct {
	// Baseline is a plain fan-out instead: no hedges, no warm-up, a fixed
	// share of connections, and a wait for all shards until the deadline.
	Baseline bool
	// Percentile of a shard's latency after which a hedge is sent; 0 is that
	// of the latency package.
	HedgePercentile float64
	// HedgeShare is the part of the budget that hedges may use; 0 is that of
	// the budget package.
	HedgeShare float64
	// ColdFirst puts a leaf that is not warm first in one plan of eight, at most
	// one such leaf per plan and in at most half of the plans. Otherwise such a
	// leaf gets only retries and moves while another leaf of its shard is warm.
	ColdFirst bool
	// KeepColdRuns lets a request run on in a leaf that is not warm after its
	// caller withdrew it.
	KeepColdRuns bool
	// CancelCensored counts a cancelled request in a warm leaf as too slow if it
	// ran for longer than longRun, and makes no pause otherwise.
	CancelCensored bool
	// ProbeOnClose stops sending to a leaf that closed its connections until it
	// has been probed.
	ProbeOnClose bool
	// SlowLast ranks a leaf whose replies take slowRatio times as long as those
	// of another leaf of its shard like one that is not warm.
	SlowLast bool
	// DelayPerClass keeps hedge delays of the main class apart from those of
	// the lower one.
	DelayPerClass bool
	// Reserve makes the lower classes leave a part of the saved budget to
	// those of priority 0.
	ReserveBudget bool
	// OthersLoad takes the relay's own requests out of the load that a leaf
	// reports.
	ExcludeOwnLoad bool
}

// Plain is the baseline.
func Baseline() Policy { return Policy{Baseline: true} }

// Current is the policy as the entry and the relay use it.
func Current() Policy {
	return Policy{
		ColdFirst: true, KeepColdRuns: true, CancelCensored: true,
		SlowLast: true, DelayPerClass: true, ExcludeOwnLoad: true,
		ReserveBudget: true,
	}
}

// First is the policy before the first measurements.
func Initial() Policy { return Policy{} }

// Name returns the policy's name in tables.
func (p Policy) Name() string {
	switch p {
	case Baseline():
		return "baseline"
	case Initial():
		return "first"
	case Current():
		return "current"
	}
	return "variant"
}
