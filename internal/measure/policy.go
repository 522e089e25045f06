package measure

// Policy selects the decisions that a run simulates. The zero value is Initial.
type Policy struct {
	// Baseline replaces the query tier by a plain fan-out: no hedges, no warm-up,
	// a fixed share of connections, and a wait for all shards until the deadline.
	Baseline bool
	// HedgePercentile is the percentile of a shard's latency after which a hedge
	// is sent. 0 selects the estimate of the latency package.
	HedgePercentile float64
	// HedgeShare is the fraction of the budget that hedges may use. 0 selects
	// that of the budget package.
	HedgeShare float64
	// ColdFirst puts a leaf that is not warm first in one plan of eight, at most
	// one such leaf per plan and in at most half of the plans. Otherwise such a
	// leaf gets only retries and moves while another leaf of its shard is warm.
	ColdFirst bool
	// KeepColdRuns lets a leaf that is not warm complete a request that was
	// cancelled.
	KeepColdRuns bool
	// CancelCensored reports a cancelled request to the tracker with its run
	// time. The tracker counts it as slow in a warm leaf if it ran for long, and
	// doesn't pause the leaf otherwise. Without CancelCensored a cancelled request
	// counts as refused.
	CancelCensored bool
	// ProbeOnClose stops sending to a leaf that closed its connections until it
	// has been probed.
	ProbeOnClose bool
	// SlowLast ranks a leaf whose average latency is more than slowLeafRatio times
	// that of another leaf of its shard like a leaf that is not warm.
	SlowLast bool
	// DelayPerClass derives hedge delays from replies of the main class only.
	// Otherwise replies of both classes count.
	DelayPerClass bool
	// ReserveBudget keeps part of the saved budget for classes of priority 0.
	ReserveBudget bool
	// ExcludeOwnLoad subtracts the relay's own requests from the load that a leaf
	// reports.
	ExcludeOwnLoad bool
}

// Baseline returns the policy of a plain fan-out.
func Baseline() Policy { return Policy{Baseline: true} }

// Current returns the policy that the entry and the relay use.
func Current() Policy {
	return Policy{
		ColdFirst: true, KeepColdRuns: true, CancelCensored: true,
		SlowLast: true, DelayPerClass: true, ExcludeOwnLoad: true,
		ReserveBudget: true,
	}
}

// Initial returns the policy without any of the optional features. Its name in
// tables is "first".
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
