package query

// shardStatus is the progress of a shard.
type shardStatus uint8

const (
	shardUnsent shardStatus = iota
	// shardRunning has at least one open attempt.
	shardRunning
	// shardAwaitingPlan waits for a plan on a newer snapshot; it may have an open
	// attempt.
	shardAwaitingPlan
	// shardCanaryFailed had a canary that failed without a crash. It waits until a canary
	// of another shard has replied.
	shardCanaryFailed
	// shardHeld had an attempt that failed while the request was suspected of crashing
	// leaves. It waits for a reply of another shard.
	shardHeld
	shardMerged
	shardMissing
)
