package process_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

const (
	// lastStartBound limits the time from the acceptance of an edit, or from the
	// moment at which a leaf starts to leave, to the last start of a request.
	lastStartBound = 5 * time.Second
	// observationTime is the time after lastStartBound during which a late start of
	// a request would be detected.
	observationTime = 3 * time.Second
	// outZone is the zone that the tests take out.
	outZone = "osorno"
)

// zoneFault is a fault during the edit that takes a zone out.
type zoneFault struct {
	name       string
	vmsPerZone int
	// partitionedZone is a zone that is partitioned from the platform during the edit.
	partitionedZone string
	// beforeEdit runs before the edit, afterAccepted right after its acceptance,
	// and atEnd at the end of the observation.
	beforeEdit, afterAccepted, atEnd func(context.Context, *testing.T, *harness.Cluster)
}

var zoneFaults = []zoneFault{
	{name: "load only", vmsPerZone: 1},
	{name: "store down after acceptance", vmsPerZone: 1, afterAccepted: storeDown},
	{name: "agent paused during the edit", vmsPerZone: 1, beforeEdit: signalAgent(syscall.SIGSTOP), atEnd: signalAgent(syscall.SIGCONT)},
	{name: "zone partitioned from the platform", vmsPerZone: 2, partitionedZone: outZone},
	{name: "entry started after the edit", vmsPerZone: 1, afterAccepted: restartEntry},
}

func storeDown(_ context.Context, t *testing.T, c *harness.Cluster) {
	assert.NilError(t, c.ControlStore("down"))
}

func signalAgent(s syscall.Signal) func(context.Context, *testing.T, *harness.Cluster) {
	return func(_ context.Context, t *testing.T, c *harness.Cluster) {
		assert.NilError(t, c.Process(c.VMsInZone(outZone)[0], harness.RoleAgent).Signal(s))
	}
}

func restartEntry(ctx context.Context, t *testing.T, c *harness.Cluster) {
	vm := c.VMsInZone(outZone)[0]
	c.Process(vm, harness.RoleEntry).Kill()
	assert.NilError(t, c.StartProcess(vm, harness.RoleEntry))
	assert.NilError(t, c.WaitGeneration(ctx, uint64(len(c.Fleet.Sections))+1))
}

func callIfSet(ctx context.Context, t *testing.T, c *harness.Cluster, f func(context.Context, *testing.T, *harness.Cluster)) {
	if f != nil {
		f(ctx, t, c)
	}
}

// Guards against a request that starts in a zone more than 5 s after an edit that
// takes the zone out is accepted, under load and with each of zoneFaults.
func TestZoneOut(t *testing.T) {
	for _, row := range zoneFaults {
		t.Run(row.name, func(t *testing.T) { testZoneOut(t, row) })
	}
}

func testZoneOut(t *testing.T, row zoneFault) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: row.vmsPerZone, PartitionedZone: row.partitionedZone})
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	assert.NilError(t, harness.Wait(ctx, "a request in the zone", func() error { return checkStartedInZone(c, time.UnixMilli(0)) }))
	if row.partitionedZone != "" {
		c.SetPartitioned(true)
	}
	callIfSet(ctx, t, c, row.beforeEdit)
	_, err := c.Medlarctl(ctx, "operations", "zone", "out", outZone)
	assert.NilError(t, err)
	accepted := time.Now()
	callIfSet(ctx, t, c, row.afterAccepted)
	assert.NilError(t, harness.Wait(ctx, "the end of the time bound", func() error { return checkElapsed(accepted, lastStartBound) }))
	load.TakeResult()
	assert.NilError(t, harness.Wait(ctx, "the end of the observation", func() error { return checkElapsed(accepted, lastStartBound+observationTime) }))
	callIfSet(ctx, t, c, row.atEnd)
	last, err := c.LastRequestStart(outZone)
	assert.NilError(t, err)
	assert.Assert(t, last.Sub(accepted) <= lastStartBound, "last start %s after acceptance", last.Sub(accepted))
	got := load.Stop()
	assert.Assert(t, got.Queries > got.Failed, "%+v", got)
	t.Logf("last start %s after acceptance; then %+v", last.Sub(accepted), got)
	checkNoColdOverload(t, c)
}

// checkStartedInZone returns an error until a leaf of the zone starts a request
// after the given time.
func checkStartedInZone(c *harness.Cluster, after time.Time) error {
	last, err := c.LastRequestStart(outZone)
	if err == nil && !last.After(after.Add(time.Millisecond)) {
		return errors.New("no request started in the zone")
	}
	return err
}

// Guards against full load on cold leaves when a zone returns: all of its leaves
// restarted while it was out.
func TestZoneReturnsByWarmUp(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 2})
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	leaf, _ := c.LeafInZone("enrolment", outZone)
	assert.NilError(t, c.ControlLeaf(harness.OtherReplica(leaf), "stop"))
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(leaf) }))
	_, err := c.Medlarctl(ctx, "operations", "zone", "out", outZone)
	assert.NilError(t, err)
	assert.NilError(t, c.WaitGeneration(ctx, uint64(len(c.Fleet.Sections))+1))
	for _, l := range c.Fleet.Leaves {
		if l.Zone == outZone {
			assert.NilError(t, c.ControlLeaf(l.ID, "crash"))
		}
	}
	_, err = c.Medlarctl(ctx, "operations", "zone", "in", outZone)
	assert.NilError(t, err)
	returned := time.Now()
	assert.NilError(t, harness.Wait(ctx, "a request in the zone", func() error { return checkStartedInZone(c, returned) }))
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(leaf) }))
	t.Logf("warm %s after the return", time.Since(returned))
	checkNoColdOverload(t, c)
}
