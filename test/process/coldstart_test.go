package process_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/harness"
)

const (
	// coldExtraRunTimeMS makes a leaf so slow that it stays cold throughout a test: it is
	// warm after 8 requests.
	coldExtraRunTimeMS = "600"
	// leaseBound is after the last start under a lease of a frozen relay:
	// leaseTerm less clockMargin, with room for the look at the counters.
	leaseBound = 2 * time.Second
	// fenceDelay is how long a cold leaf of a failed owner gets no load: the
	// lease and its clock margin, and the run limit of a request.
	fenceDelay = 4500 * time.Millisecond
)

// startCluster runs Valdivia's installation with its configuration in force.
func startCluster(t *testing.T, opts harness.Options) (context.Context, *harness.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	opts.Bin, opts.Dir, opts.User = bin, t.TempDir(), "valdivia"
	c, err := harness.Start(ctx, opts)
	assert.NilError(t, err)
	t.Cleanup(c.Kill)
	c.PreferCoverage()
	assert.NilError(t, c.PutAllSections(ctx))
	assert.NilError(t, c.WaitGeneration(ctx, uint64(len(c.Fleet.Sections))))
	return ctx, c
}

func checkNoColdOverload(t *testing.T, c *harness.Cluster) {
	t.Helper()
	names, err := c.OverloadedLeaves()
	assert.NilError(t, err)
	if len(names) > 0 {
		t.Logf("events of %s:\n%s", names[0], c.Timeline(t.Context(), "--subject", names[0]))
	}
	assert.Equal(t, len(names), 0, "overloaded while cold: %v", names)
}

func runSubmits(ctx context.Context, c *harness.Cluster, vms []int) {
	for n := 0; ctx.Err() == nil; n++ {
		vm := vms[n%len(vms)]
		if ticket, err := c.BeginSubmit(ctx, vm, "enrol"); err == nil {
			_, _ = c.Submit(ctx, vm, &medlarv1.SubmitRequest{Ticket: ticket, Class: "enrol", Shard: "enrolment-01", Payload: []byte("student")})
		}
	}
}

// Guards against load beyond what a cold leaf bears while all leaves warm up
// under searches and executions, some with reports that claim to be idle, and
// when warm leaves crash.
func TestColdStartOfAllLeaves(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 2})
	for i, l := range c.Fleet.Leaves {
		if i%2 == 0 {
			assert.NilError(t, c.ControlLeaf(l.ID, "idle"))
		}
	}
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	go runSubmits(ctx, c, c.AllVMs())
	warm := waitWarm(ctx, t, c)
	checkNoColdOverload(t, c)
	for _, leaf := range warm[:3] {
		assert.NilError(t, c.ControlLeaf(leaf, "crash"))
	}
	assert.NilError(t, harness.Wait(ctx, "a warm leaf after its crash", func() error { return c.CheckLeafWarm(warm[0]) }))
	checkNoColdOverload(t, c)
	t.Logf("load: %+v", load.Stop())
}

// waitWarm waits until a quarter of the leaves of an index are warm.
func waitWarm(ctx context.Context, t *testing.T, c *harness.Cluster) (warm []string) {
	t.Helper()
	assert.NilError(t, harness.Wait(ctx, "warm leaves", func() (err error) {
		warm, err = c.WarmLeaves("enrolment", 10)
		return err
	}))
	return warm
}

// Guards against full load on a warm leaf that turns cold with the same boot
// ID and the same report. The relay falls back after slowStreak = 3 slow
// replies in a row. Until then it refills its 2 slots: of the requests that
// start in the cold leaf, 3 reply before the fall and 1 runs beside the last
// of them. The first of these 4 starts beside a request of the warm time.
func TestWarmLeafTurnsCold(t *testing.T) {
	const slowStreak, slots = 3, 2
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 1})
	load := c.StartLoad(ctx, "course-finder", 3, c.AllVMs()...)
	defer load.Stop()
	leaf, owners := c.LeafInZone("enrolment", "osorno")
	assert.NilError(t, c.ControlLeaf(harness.OtherReplica(leaf), "stop"))
	assert.NilError(t, harness.Wait(ctx, "warm state", func() error { return c.CheckLeafState(ctx, owners[0], leaf, "warm") }))
	assert.NilError(t, c.ControlLeaf(leaf, "slow", "ms", "400"))
	assert.NilError(t, c.ControlLeaf(leaf, "cold"))
	assert.NilError(t, harness.Wait(ctx, "the fall", func() error { return c.CheckLeafState(ctx, owners[0], leaf, "warming", "cold") }))
	assert.NilError(t, c.ControlLeaf(leaf, "slow", "ms", "0"))
	assert.NilError(t, harness.Wait(ctx, "warm leaf", func() error { return c.CheckLeafState(ctx, owners[0], leaf, "warm") }))
	s, err := c.LeafStats(leaf)
	assert.NilError(t, err)
	assert.Assert(t, s.ColdOverloads <= slowStreak+slots-1, "overloads: %d", s.ColdOverloads)
	t.Logf("overloads %d, load %+v", s.ColdOverloads, load.TakeResult())
}

// ownerFault makes the relay that holds the lease of a cold leaf fail.
type ownerFault struct {
	zone      string
	signal    syscall.Signal
	coldStart bool
}

var ownerFaults = []ownerFault{
	{zone: "valdivia", signal: syscall.SIGSTOP},
	{zone: "osorno", signal: syscall.SIGKILL},
	{zone: "puerto-montt", signal: syscall.SIGSTOP, coldStart: true},
}

// orphanedLeaf is a leaf whose owner fails.
type orphanedLeaf struct {
	ownerFault
	id       string
	owners   []int
	failedAt time.Time
	// lastStart is when the leaf lastStart its last request, counted from at.
	lastStart time.Duration
}

// failLeafOwners brings a leaf of each zone to a cold start under its owner's
// lease, and makes the owner fail.
func failLeafOwners(ctx context.Context, t *testing.T, c *harness.Cluster) (out []*orphanedLeaf) {
	t.Helper()
	for _, f := range ownerFaults {
		v := &orphanedLeaf{ownerFault: f}
		v.id, v.owners = c.LeafInZone("enrolment", f.zone)
		out = append(out, v)
		assert.NilError(t, c.ControlLeaf(harness.OtherReplica(v.id), "stop"))
		assert.NilError(t, c.ControlLeaf(v.id, "slow", "ms", coldExtraRunTimeMS))
	}
	for _, v := range out {
		assert.NilError(t, harness.Wait(ctx, "the owner's lease", func() error { return c.CheckLeafState(ctx, v.owners[0], v.id, "warming") }))
	}
	for _, v := range out {
		if v.coldStart {
			assert.NilError(t, c.ControlLeaf(v.id, "crash"))
		}
		assert.NilError(t, c.Process(v.owners[0], harness.RoleRelay).Signal(v.signal))
		v.failedAt = time.Now()
	}
	return out
}

// checkStartedAfterLease gives an error until the leaf starts a request after the
// owner's lease has ended, and notes when it did.
func (v *orphanedLeaf) checkStartedAfterLease(c *harness.Cluster) error {
	s, err := c.LeafStats(v.id)
	v.lastStart = time.UnixMilli(s.LastWorkUnixMS).Sub(v.failedAt)
	if err == nil && v.lastStart < leaseBound {
		return errors.Errorf("%s: last start %s after the fault", v.id, v.lastStart)
	}
	return err
}

// Guards against two relays sending to one cold leaf: the owner is frozen past
// its lease or killed, its successor serves after the eviction, and the frozen
// owner continues with what it held.
func TestColdLeafOfFailedOwner(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 2})
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()[:3]...)
	defer load.Stop()
	victims := failLeafOwners(ctx, t, c)
	for _, v := range victims {
		assert.NilError(t, harness.Wait(ctx, "the successor", func() error { return v.checkStartedAfterLease(c) }))
		t.Logf("%s: successor serves %s after %s", v.zone, v.lastStart.Round(time.Second/10), v.signal)
		assert.Assert(t, v.lastStart >= fenceDelay, "%s: a request of the owner may still run after %s", v.id, v.lastStart)
	}
	for _, v := range victims {
		if v.signal == syscall.SIGSTOP {
			assert.NilError(t, c.Process(v.owners[0], harness.RoleRelay).Signal(syscall.SIGCONT))
		}
	}
	for _, v := range victims {
		before, err := c.LeafStats(v.id)
		assert.NilError(t, err)
		assert.Assert(t, !before.Warm, "%s is warm before the owner continues", v.id)
		assert.NilError(t, harness.Wait(ctx, "more load at "+v.id, func() error { return c.CheckSearches(v.id, before.Searches+1) }))
	}
	checkNoColdOverload(t, c)
	t.Logf("load: %+v", load.Stop())
}

// Guards against load on a cold leaf whose owner failed while the store is
// down: nobody can be evicted, so the leaf gets nothing and its replica serves.
func TestColdLeafOfFailedOwnerWithoutStore(t *testing.T) {
	// watchFor is longer than an eviction and its fenceDelay take.
	const watchFor = 12 * time.Second
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 2})
	load := c.StartLoad(ctx, "course-finder", 1, c.AllVMs()...)
	defer load.Stop()
	v := &orphanedLeaf{}
	v.id, v.owners = c.LeafInZone("enrolment", "valdivia")
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(v.id) }))
	assert.NilError(t, harness.Wait(ctx, "a warm replica", func() error { return c.CheckLeafWarm(harness.OtherReplica(v.id)) }))
	assert.NilError(t, c.ControlStore("down"))
	assert.NilError(t, c.ControlLeaf(v.id, "slow", "ms", coldExtraRunTimeMS))
	assert.NilError(t, c.ControlLeaf(v.id, "crash"))
	assert.NilError(t, c.Process(v.owners[0], harness.RoleRelay).Signal(syscall.SIGKILL))
	v.failedAt = time.Now()
	assert.NilError(t, harness.Wait(ctx, "the end of the watch", func() error { return checkElapsed(v.failedAt, watchFor) }))
	assert.Assert(t, v.checkStartedAfterLease(c) != nil, "%s got load", v.id)
	load.TakeResult()
	assert.NilError(t, harness.Wait(ctx, "answers of replicas", func() error { return checkAnswerCount(load, 20) }))
	got := load.Stop()
	assert.Assert(t, got.Failed == 0 && got.Partial == 0, "%+v", got)
	checkNoColdOverload(t, c)
}

// checkAnswerCount gives an error until callers got a number of answers.
func checkAnswerCount(l *harness.Load, answers int) error {
	got := l.Result()
	if n := got.Queries - got.Failed; n < answers {
		return errors.Errorf("%d answers, first failure %s", n, got.FirstFailed)
	}
	return nil
}

// checkElapsed gives an error until a time has passed since a moment.
func checkElapsed(moment time.Time, d time.Duration) error {
	if left := d - time.Since(moment); left > 0 {
		return errors.Errorf("%s left", left)
	}
	return nil
}
