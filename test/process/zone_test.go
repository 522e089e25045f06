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
	// lastWorkWithin bounds the time from the acceptance of an edit, or from
	// the first sign of a leaving leaf, until the last start of work.
	lastWorkWithin = 5 * time.Second
	// quietFor is how long the counters are watched after that.
	quietFor = 3 * time.Second
	outZone  = "osorno"
)

// zoneRow is a fault beside the edit that takes a zone out.
type zoneRow struct {
	name       string
	vmsPerZone int
	// cutZone is a zone that is cut off from the platform during the edit.
	cutZone string
	// before runs before the edit, accepted right after its acceptance, and
	// later at the end of the watch.
	before, accepted, later func(context.Context, *testing.T, *harness.Cluster)
}

var zoneRows = []zoneRow{
	{name: "load only", vmsPerZone: 1},
	{name: "store down after acceptance", vmsPerZone: 1, accepted: storeDown},
	{name: "agent frozen during the edit", vmsPerZone: 1, before: signalAgent(syscall.SIGSTOP), later: signalAgent(syscall.SIGCONT)},
	{name: "zone cut off from the platform", vmsPerZone: 2, cutZone: outZone},
	{name: "entry started after the edit", vmsPerZone: 1, accepted: restartEntry},
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

func call(ctx context.Context, t *testing.T, c *harness.Cluster, f func(context.Context, *testing.T, *harness.Cluster)) {
	if f != nil {
		f(ctx, t, c)
	}
}

// Guards against new work in a zone more than 5 s after it was taken out.
func TestZoneOut(t *testing.T) {
	for _, row := range zoneRows {
		t.Run(row.name, func(t *testing.T) { zoneOut(t, row) })
	}
}

func zoneOut(t *testing.T, row zoneRow) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: row.vmsPerZone, PartitionedZone: row.cutZone})
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	assert.NilError(t, harness.Wait(ctx, "work in the zone", func() error { return worked(c, time.UnixMilli(0)) }))
	if row.cutZone != "" {
		c.SetPartitioned(true)
	}
	call(ctx, t, c, row.before)
	_, err := c.Medlarctl(ctx, "operations", "zone", "out", outZone)
	assert.NilError(t, err)
	accepted := time.Now()
	call(ctx, t, c, row.accepted)
	assert.NilError(t, harness.Wait(ctx, "the bound", func() error { return after(accepted, lastWorkWithin) }))
	load.TakeResult()
	assert.NilError(t, harness.Wait(ctx, "the watch", func() error { return after(accepted, lastWorkWithin+quietFor) }))
	call(ctx, t, c, row.later)
	last, err := c.LastRequestStart(outZone)
	assert.NilError(t, err)
	assert.Assert(t, last.Sub(accepted) <= lastWorkWithin, "last work %s after acceptance", last.Sub(accepted))
	got := load.Stop()
	assert.Assert(t, got.Queries > got.Failed, "%+v", got)
	t.Logf("last work %s after acceptance; then %+v", last.Sub(accepted), got)
	notOverloaded(t, c)
}

// worked gives an error until a leaf of the zone starts work after a moment.
func worked(c *harness.Cluster, moment time.Time) error {
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
	assert.NilError(t, harness.Wait(ctx, "work in the zone", func() error { return worked(c, back) }))
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(leaf) }))
	t.Logf("warm %s after the return", time.Since(back))
	notOverloaded(t, c)
}
