package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Params holds the limits of one query, which depend on its class. Durations are
// measured from Start.
type Params struct {
	Prefer topology.Preference
	// LatencyTarget is when a query that prefers latency answers with the replies
	// merged so far. Zero means the deadline.
	LatencyTarget time.Duration
	// Deadline is when the query answers in any case.
	Deadline time.Duration
	// Canary delays the fan-out until a first request to one shard has completed.
	Canary bool
	// Suspect is set if requests of the class have crashed leaves lately. Only then a canary
	// that an overloaded leaf has refused is followed by another one: a second wait in a
	// queue costs new requests their latency target.
	Suspect bool
	// MaxAttempts limits the sends per shard and snapshot, including the first
	// one; less than 1 means 1.
	MaxAttempts int
	// MinCoveredWeight is the minimum weight that an answer before the deadline
	// must cover; less than 1 means 1.
	MinCoveredWeight uint64
	// AtMostOnce allows another send to a shard only after attempts that are known
	// not to have run.
	AtMostOnce bool
	// NoSameLeafHedge disables hedges to the leaf of the open attempt.
	NoSameLeafHedge bool
	// HedgeQuorum is the fraction of the shards that must have replied before the
	// others count as stragglers and are hedged. Without it, when most replies take
	// longer than the hedge delay, as over new connections, hedges to all shards
	// would use up the budget before the real stragglers are known.
	HedgeQuorum float64
	// HedgeQuorumTimeout is when hedges no longer wait for the quorum; zero means
	// the target.
	HedgeQuorumTimeout time.Duration
	// MaxCrashes is the number of crash-like losses at which sending stops; less
	// than 1 means 1.
	MaxCrashes int
	// ReplyClears makes a reply of any shard show that the request does not crash leaves.
	// Before it, once a leaf was lost, requests are sent one at a time and until MaxCrashes
	// is reached; after it, losses are retried like other failures. It is not meant for
	// queries that restart on a newer snapshot.
	ReplyClears bool
	// MaxRestarts limits the number of requests for a newer snapshot.
	MaxRestarts int
}

// target returns the time from Start at which a partial answer is given.
func (p Params) target() time.Duration {
	if p.Prefer != topology.PreferLatency || p.LatencyTarget <= 0 {
		return p.Deadline
	}
	return min(p.LatencyTarget, p.Deadline)
}

// minRestartTime returns the time that must remain until the target for a restart
// on a newer snapshot. A query that prefers coverage may restart later, since its
// deadline is far longer than a fan-out takes.
func (p Params) minRestartTime() time.Duration {
	if p.Prefer == topology.PreferLatency {
		return p.target() / 2
	}
	return p.Deadline / 4
}
