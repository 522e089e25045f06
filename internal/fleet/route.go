package fleet

import "time"

// Route defines how requests with a host and path prefix are handled. Exactly one
// of Service, Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the time within which a caller gets an answer or an error.
	Timeout time.Duration
	// LatencyTarget is the target for the time from a request to its answer.
	LatencyTarget time.Duration
	// Attempts is how many leaves of each shard one request may be sent to.
	Attempts int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int

	Service ServiceName
	Split   []Share
	Shards  []ServiceName
	// TopK is how many records of all shards together an answer contains.
	TopK int
	// MinCoverage is the least share of the shards whose replies an answer contains.
	MinCoverage float64
}

// ServiceName names a service. Each shard is a service.
type ServiceName string

// Share is one service of a split route and its weight.
type Share struct {
	Service ServiceName
	Weight  float64
}

// FansOut reports whether requests of the route are sent to several shards and their
// replies merged.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }

// Services returns the services that requests of the route may be sent to.
func (r *Route) Services() []ServiceName {
	switch {
	case r.FansOut():
		return r.Shards
	case len(r.Split) == 0:
		return []ServiceName{r.Service}
	}
	out := make([]ServiceName, 0, len(r.Split))
	for _, share := range r.Split {
		out = append(out, share.Service)
	}
	return out
}
