package topology

import "time"

// Preference defines what a class of queries favors when shards are slow to
// reply.
type Preference string

// Preferences of a class.
const (
	// PreferLatency returns a partial result at the latency target.
	PreferLatency Preference = "latency"
	// PreferCoverage waits for missing shards until the deadline.
	PreferCoverage Preference = "coverage"
)

// CanaryMode defines when a query is sent to a single leaf before it fans out.
type CanaryMode string

// Canary modes of a class.
const (
	CanaryAlways CanaryMode = "always"
	// CanarySuspect sends a canary while the class is suspect, see package
	// quarantine.
	CanarySuspect CanaryMode = "suspect"
	CanaryNever   CanaryMode = "never"
)

// Upper bounds for the settings in a service document. A planned stop waits for
// their sum, see package lifecycle.
const (
	MaxDeadline = 20 * time.Second
	MaxRunLimit = 10 * time.Second
)

// Scope defines to how many shards a query of a class is sent.
type Scope string

// Scopes of a class.
const (
	// ScopeAll sends a query to every shard.
	ScopeAll Scope = "all"
	// ScopeOne sends a query to one leaf of any shard.
	ScopeOne Scope = "one"
)

// Class holds the settings of a class of requests.
type Class struct {
	ID    ClassID
	Index IndexID
	Scope Scope
	// Priority orders classes; 0 is the highest priority.
	Priority int
	Prefer   Preference
	// LatencyTarget is how long after its arrival a query that prefers latency
	// returns the replies it has.
	LatencyTarget time.Duration
	// Deadline is how long a query of the class may take.
	Deadline time.Duration
	Canary   CanaryMode
	// AcceptsSubmits reports whether the class accepts non-idempotent requests.
	AcceptsSubmits bool
}
