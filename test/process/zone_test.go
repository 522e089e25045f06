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
	// lastStartBound bounds the time from the acceptance of an edit, or from
	// the first sign of a leaving leaf, until the last start of work.
	lastStartBound = 5 * time.Second
	// observationTime is how long the counters are watched after that.
	observationTime = 3 * time.Second
	outZone         = "osorno"
)

// zoneFault is a fault beside the edit that takes a zone out.
type zoneFault struct {
	name       string
	vmsPerZone int
	// cutZone is a zone that is cut off from the platform during the edit.
	cutZone string
	// beforeEdit runs beforeEdit the edit, afterAccepted right after its acceptance, and
	// atEnd at the end of the watch.
	beforeEdit, afterAccepted, atEnd func(context.Context, *testing.T, *harness.Cluster)
}

var zoneFaults = []zoneFault{
	{name: "load only", vmsPerZone: 1},
	{name: "store down after acceptance", vmsPerZone: 1, afterAccepted: storeDown},
	{name: "agent frozen during the edit", vmsPerZone: 1, beforeEdit: signalAgent(syscall.SIGSTOP), atEnd: signalAgent(syscall.SIGCONT)},
	{name: "zone cut off from the platform", vmsPerZone: 2, cutZone: outZone},
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

// Guards against new work in a zone more than 5 s after it was taken out.
func TestZoneOut(t *testing.T) {
	for _, row := range zoneFaults {
		t.Run(row.name, func(t *testing.T) { testZoneOut(t, row) })
	}
}

func testZoneOut(t *testing.T, row zoneFault) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: row.vmsPerZone, PartitionedZone: row.cutZone})
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	assert.NilError(t, harness.Wait(ctx, "work in the zone", func() error { return checkStartedInZone(c, time.UnixMilli(0)) }))
	if row.cutZone != "" {
		c.SetPartitioned(true)
	}
	callIfSet(ctx, t, c, row.beforeEdit)
	_, err := c.Medlarctl(ctx, "operations", "zone", "out", outZone)
	assert.NilError(t, err)
	accepted := time.Now()
	callIfSet(ctx, t, c, row.afterAccepted)
	assert.NilError(t, harness.Wait(ctx, "the bound", func() error { return checkElapsed(accepted, lastStartBound) }))
	load.TakeResult()
	assert.NilError(t, harness.Wait(ctx, "the watch", func() error { return checkElapsed(accepted, lastStartBound+observationTime) }))
	callIfSet(ctx, t, c, row.atEnd)
	last, err := c.LastRequestStart(outZone)
	assert.NilError(t, err)
	assert.Assert(t, last.Sub(accepted) <= lastStartBound, "last work %s after acceptance", last.Sub(accepted))
	got := load.Stop()
	assert.Assert(t, got.Queries > got.Failed, "%+v", got)
	t.Logf("last work %s after acceptance; then %+v", last.Sub(accepted), got)
	checkNoColdOverload(t, c)
}

// checkStartedInZone gives an error until a leaf of the zone starts work after a moment.
func checkStartedInZone(c *harness.Cluster, moment time.Time) error {
	last, err := c.LastRequestStart(outZone)
	if err == nil && !last.After(moment.Add(time.Millisecond)) {
		return errors.New("no work in the zone")
	}
	return err
}

// Guards against full load on leaves of a returning zone that restarted while
// it was out.
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
	back := time.Now()
	assert.NilError(t, harness.Wait(ctx, "work in the zone", func() error { return checkStartedInZone(c, back) }))
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(leaf) }))
	t.Logf("warm %s after the return", time.Since(back))
	checkNoColdOverload(t, c)
}
