package process_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// Guards against requests to a leaf that is leaving, against queries that fail or
// are partial because of it, and against full load on the cold leaf when it is back
// with a new boot ID.
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
	assert.NilError(t, harness.Wait(ctx, "the end of the observation", func() error { return checkElapsed(left, lastStartBound+observationTime) }))
	s, err := c.LeafStats(leaf)
	assert.NilError(t, err)
	lastStart, lastRefusal := time.UnixMilli(s.LastWorkUnixMS).Sub(left), time.UnixMilli(s.LastRefusedUnixMS).Sub(left)
	assert.Assert(t, lastStart <= lastStartBound && lastRefusal <= lastStartBound, "last start %s, last refusal %s", lastStart, lastRefusal)
	got := load.TakeResult()
	assert.Assert(t, got.Queries > 0 && got.Failed == 0 && got.Partial == 0, "%+v", got)
	t.Logf("last start %s, last refusal %s (%d refusals), load %+v", lastStart, lastRefusal, s.LeavingRefused, got)

	// Without its replica, the shard depends on the leaf as soon as it is back.
	assert.NilError(t, c.ControlLeaf(replica, "stop"))
	assert.NilError(t, c.ControlLeaf(leaf, "stay"))
	assert.NilError(t, c.ControlLeaf(leaf, "crash"))
	assert.NilError(t, harness.Wait(ctx, "a search at the leaf", func() error { return c.CheckSearches(leaf, s.Searches+1) }))
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafState(ctx, owners[0], leaf, "warm") }))
	checkNoColdOverload(t, c)
}
