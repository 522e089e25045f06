package query

// shardStatus is what is known of a shard.
type shardStatus uint8

const (
	shardUnsent shardStatus = iota
	// shardRunning has at least one open attempt.
	shardRunning
	// shardRetired waits for a newer snapshot; it may have an open attempt.
	shardRetired
	shardMerged
	shardMissing
)
