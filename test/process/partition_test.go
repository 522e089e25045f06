package process_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// Guards against overload of cold leaves, a decreasing generation and failed
// queries when the relays of a zone restart one after the other while the zone is
// partitioned from the platform.
func TestRollingRestartOfCutOffZone(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 2, PartitionedZone: outZone})
	g := c.WatchGenerations(ctx)
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	waitWarm(ctx, t, c)
	load.TakeResult()
	c.SetPartitioned(true)
	for _, vm := range c.VMsInZone(outZone) {
		assert.NilError(t, c.Process(vm, harness.RoleRelay).Stop())
		assert.NilError(t, c.StartProcess(vm, harness.RoleRelay))
		assert.NilError(t, c.WaitGeneration(ctx, uint64(len(c.Fleet.Sections))))
	}
	got := load.TakeResult()
	assert.Assert(t, got.Queries > 0 && got.Failed == 0, "%+v", got)
	t.Logf("load during the restarts: %+v", got)
	assert.NilError(t, harness.Wait(ctx, "answers", func() error { return checkAnswerCount(load, 20) }))
	checkNoColdOverload(t, c)
	checkNoDecrease(t, g)
}
