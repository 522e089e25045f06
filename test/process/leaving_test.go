package process_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// Guards against work sent to a leaf that leaves, against requests that fail
// because of it, and against full load when it is back with a new boot.
func TestUpstreamLeaves(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 1})
	load := c.StartLoad(ctx, "course-finder", 2, c.AllVMs()...)
	defer load.Stop()
	leaf, owners := c.LeafInZone("enrolment", "valdivia")
	replica := harness.OtherReplica(leaf)
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafState(ctx, owners[0], leaf, "warm") }))
	assert.NilError(t, harness.Wait(ctx, "a warm replica", func() error { return c.CheckLeafWarm(replica) }))
	load.TakeResult()
	assert.NilError(t, c.ControlLeaf(leaf, "leave"))
	left := time.Now()
	assert.NilError(t, harness.Wait(ctx, "the watch", func() error { return checkElapsed(left, lastStartBound+observationTime) }))
	s, err := c.LeafStats(leaf)
	assert.NilError(t, err)
	lastStart, lastRefusal := time.UnixMilli(s.LastWorkUnixMS).Sub(left), time.UnixMilli(s.LastRefusedUnixMS).Sub(left)
	assert.Assert(t, lastStart <= lastStartBound && lastRefusal <= lastStartBound, "last start %s, last refusal %s", lastStart, lastRefusal)
	got := load.TakeResult()
	assert.Assert(t, got.Queries > 0 && got.Failed == 0 && got.Partial == 0, "%+v", got)
	t.Logf("last start %s, last refusal %s (%d refusals), load %+v", lastStart, lastRefusal, s.LeavingRefused, got)

	// Without its replica the shard needs the leaf as soon as it is back.
	assert.NilError(t, c.ControlLeaf(replica, "stop"))
	assert.NilError(t, c.ControlLeaf(leaf, "stay"))
	assert.NilError(t, c.ControlLeaf(leaf, "crash"))
	assert.NilError(t, harness.Wait(ctx, "work at the leaf", func() error { return c.CheckSearches(leaf, s.Searches+1) }))
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafState(ctx, owners[0], leaf, "warm") }))
	checkNoColdOverload(t, c)
}
