package intake

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Load pattern: see Runs. Guards against queries that exceed the limit, against requests to one leaf
// that find no room beside them, and against a query that is refused although nothing else runs.
func TestWideQueriesLeaveRoom(t *testing.T) {
	const limit, shards = 1000, 180
	runs := NewRuns(limit)
	wide := 0
	for runs.Begin(shards) {
		wide++
	}
	assert.Equal(t, wide, 4)
	single := 0
	for runs.Begin(1) {
		single++
	}
	assert.Equal(t, wide*shards+single, limit)
	assert.Assert(t, single >= limit/wideReserve)
	for range wide {
		runs.End(shards)
	}
	for range single {
		runs.End(1)
	}
	assert.Equal(t, runs.running, 0)
	assert.Assert(t, runs.Begin(2*limit))
	assert.Assert(t, !runs.Begin(1))
}
