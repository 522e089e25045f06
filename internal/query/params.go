package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Params are the limits of one query, from its class. Durations count from
// Start.
type Params struct {
	Prefer topology.Preference
	// LatencyTarget is when a query that prefers latency answers with what
	// has arrived. Zero means the deadline.
	LatencyTarget time.Duration
	// Deadline is when the query answers in any case.
	Deadline time.Duration
	// Canary sends one shard first and the others after its reply.
	Canary bool
	// MaxAttempts bounds the sends per shard and snapshot, including the
	// first one; less than 1 means 1.
	MaxAttempts int
	// MinCoveredWeight is the least weight that an answer before the deadline must
	// cover; less than 1 means 1.
	MinCoveredWeight uint64
	// AtMostOnce sends nothing more after an attempt that may have run.
	AtMostOnce bool
	// NoSameLeafHedge sends no second request to a leaf that has one already.
	NoSameLeafHedge bool
	// HedgeQuorum is the share of the shards that must have replied before a shard
	// counts as straggling and gets a hedge. It answers load under which most
	// replies take longer than the hedge delay, as with new connections, when
	// hedges for all shards would use up the budget of the real stragglers.
	HedgeQuorum float64
	// HedgeQuorumTimeout is when hedges are due whatever the other shards do; zero means
	// the target.
	HedgeQuorumTimeout time.Duration
	// MaxCrashes is the number of crash-like losses after which nothing more is
	// sent; less than 1 means 1.
	MaxCrashes int
	// MaxRestarts bounds how often the query asks for a newer snapshot.
	MaxRestarts int
}

// target is the time from the start at which a partial answer is given.
func (p Params) target() time.Duration {
	if p.Prefer != topology.PreferLatency || p.LatencyTarget <= 0 {
		return p.Deadline
	}
	return min(p.LatencyTarget, p.Deadline)
}

// restartTime is the time that must remain until the target for a restart on
// a newer snapshot. A query that prefers coverage may use more of its time on
// restarts, since its deadline is far longer than a fan-out takes.
func (p Params) restartTime() time.Duration {
	if p.Prefer == topology.PreferLatency {
		return p.target() / 2
	}
	return p.Deadline / 4
}
