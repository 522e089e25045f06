// Package query decides everything about one idempotent query over many
// shards: the canary, the fan-out, hedges, retries, which replies to merge, the
// restart on a newer snapshot, and the coverage that the answer states.
//
// A Machine takes events and the monotonic time and returns actions. It has no
// clock, no I/O and no goroutines.
package query
