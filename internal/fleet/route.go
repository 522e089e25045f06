package fleet

import "time"

// Route says where the requests of a host and path prefix go. Exactly one of
// Service, Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is when an answer is due.
	LatencyTarget time.Duration
	// Attempts bounds the leaves that one request may be sent to, per shard.
	Attempts int
	// Priority orders routes; 0 goes first.
	Priority int

	Service ServiceName
	Split   []Share
	Shards  []ServiceName
	// TopK is how many records of all shards an answer holds.
	TopK int
	// MinCoverage is the least share of the shards in an answer.
	MinCoverage float64
}

// ServiceName names a service. A shard of a query is a service.
type ServiceName string

// Share is one part of a split route.
type Share struct {
	Service ServiceName
	Weight  float64
}

// FansOut reports whether the route's answers are merged from many shards.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }
