package topology

import "time"

// Preference tells what a class gives up first when shards are late.
type Preference string

// Preferences of a class.
const (
	PreferLatency  Preference = "latency"
	PreferCoverage Preference = "coverage"
)

// CanaryMode tells when a query goes to one leaf before it fans out.
type CanaryMode string

// Canary modes of a class.
const (
	CanaryAlways  CanaryMode = "always"
	CanarySuspect CanaryMode = "suspect"
	CanaryNever   CanaryMode = "never"
)

// Bounds of what a service document may state. A planned stop waits for their
// sum, see package lifecycle.
const (
	MaxDeadline = 20 * time.Second
	MaxRunLimit = 10 * time.Second
)

// Scope tells how many shards a class of queries touches.
type Scope string

// Scopes of a class.
const (
	// ScopeAll sends a query to every shard.
	ScopeAll Scope = "all"
	// ScopeOne sends a query to one leaf of any shard.
	ScopeOne Scope = "one"
)

// Class is a kind of request with its limits.
type Class struct {
	ID    ClassID
	Index IndexID
	Scope Scope
	// Priority orders classes; 0 goes first.
	Priority int
	Prefer   Preference
	// LatencyTarget is when a query that prefers latency answers with what it has.
	LatencyTarget time.Duration
	// Deadline is when every query of the class ends.
	Deadline time.Duration
	Canary   CanaryMode
	// AcceptsSubmits reports whether the class accepts non-idempotent requests.
	AcceptsSubmits bool
}
