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
	// coldFor makes a leaf so slow that it stays cold throughout a test: it is
	// warm after 8 requests.
	coldFor = "600"
	// leaseEnd is after the last start under a lease of a frozen relay:
	// leaseTerm less clockMargin, with room for the look at the counters.
	leaseEnd = 2 * time.Second
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

func notOverloaded(t *testing.T, c *harness.Cluster) {
	t.Helper()
	names, err := c.OverloadedLeaves()
	assert.NilError(t, err)
	if len(names) > 0 {
		t.Logf("events of %s:\n%s", names[0], c.Timeline(t.Context(), "--subject", names[0]))
	}
	assert.Equal(t, len(names), 0, "overloaded while cold: %v", names)
}

func submitLoad(ctx context.Context, c *harness.Cluster, vms []int) {
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
	go submitLoad(ctx, c, c.AllVMs())
	warm := waitWarm(ctx, t, c)
	notOverloaded(t, c)
	for _, leaf := range warm[:3] {
		assert.NilError(t, c.ControlLeaf(leaf, "crash"))
	}
	assert.NilError(t, harness.Wait(ctx, "a warm leaf after its crash", func() error { return c.CheckLeafWarm(warm[0]) }))
	notOverloaded(t, c)
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

// victim is a leaf whose owner fails.
type victim struct {
	ownerFault
	leaf   string
	owners []int
	at     time.Time
	// started is when the leaf started its last request, counted from at.
	started time.Duration
}

// failOwners brings a leaf of each zone to a cold start under its owner's
// lease, and makes the owner fail.
func failOwners(ctx context.Context, t *testing.T, c *harness.Cluster) (out []*victim) {
	t.Helper()
	for _, f := range ownerFaults {
		v := &victim{ownerFault: f}
		v.leaf, v.owners = c.LeafInZone("enrolment", f.zone)
		out = append(out, v)
		assert.NilError(t, c.ControlLeaf(harness.OtherReplica(v.leaf), "stop"))
		assert.NilError(t, c.ControlLeaf(v.leaf, "slow", "ms", coldFor))
	}
	for _, v := range out {
		assert.NilError(t, harness.Wait(ctx, "the owner's lease", func() error { return c.CheckLeafState(ctx, v.owners[0], v.leaf, "warming") }))
	}
	for _, v := range out {
		if v.coldStart {
			assert.NilError(t, c.ControlLeaf(v.leaf, "crash"))
		}
		assert.NilError(t, c.Process(v.owners[0], harness.RoleRelay).Signal(v.signal))
		v.at = time.Now()
	}
	return out
}

// startedAfter gives an error until the leaf starts a request after the
// owner's lease has ended, and notes when it did.
func (v *victim) startedAfter(c *harness.Cluster) error {
	s, err := c.LeafStats(v.leaf)
	v.started = time.UnixMilli(s.LastWorkUnixMS).Sub(v.at)
	if err == nil && v.started < leaseEnd {
		return errors.Errorf("%s: last start %s after the fault", v.leaf, v.started)
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
	victims := failOwners(ctx, t, c)
	for _, v := range victims {
		assert.NilError(t, harness.Wait(ctx, "the successor", func() error { return v.startedAfter(c) }))
		t.Logf("%s: successor serves %s after %s", v.zone, v.started.Round(time.Second/10), v.signal)
		assert.Assert(t, v.started >= fenceDelay, "%s: a request of the owner may still run after %s", v.leaf, v.started)
	}
	for _, v := range victims {
		if v.signal == syscall.SIGSTOP {
			assert.NilError(t, c.Process(v.owners[0], harness.RoleRelay).Signal(syscall.SIGCONT))
		}
	}
	for _, v := range victims {
		before, err := c.LeafStats(v.leaf)
		assert.NilError(t, err)
		assert.Assert(t, !before.Warm, "%s is warm before the owner continues", v.leaf)
		assert.NilError(t, harness.Wait(ctx, "more load at "+v.leaf, func() error { return c.CheckSearches(v.leaf, before.Searches+1) }))
	}
	notOverloaded(t, c)
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
	v := &victim{}
	v.leaf, v.owners = c.LeafInZone("enrolment", "valdivia")
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(v.leaf) }))
	assert.NilError(t, harness.Wait(ctx, "a warm replica", func() error { return c.CheckLeafWarm(harness.OtherReplica(v.leaf)) }))
	assert.NilError(t, c.ControlStore("down"))
	assert.NilError(t, c.ControlLeaf(v.leaf, "slow", "ms", coldFor))
	assert.NilError(t, c.ControlLeaf(v.leaf, "crash"))
	assert.NilError(t, c.Process(v.owners[0], harness.RoleRelay).Signal(syscall.SIGKILL))
	v.at = time.Now()
	assert.NilError(t, harness.Wait(ctx, "the end of the watch", func() error { return after(v.at, watchFor) }))
	assert.Assert(t, v.startedAfter(c) != nil, "%s got load", v.leaf)
	load.TakeResult()
	assert.NilError(t, harness.Wait(ctx, "answers of replicas", func() error { return atLeast(load, 20) }))
	got := load.Stop()
	assert.Assert(t, got.Failed == 0 && got.Partial == 0, "%+v", got)
	notOverloaded(t, c)
}

// atLeast gives an error until callers got a number of answers.
func atLeast(l *harness.Load, answers int) error {
	got := l.Result()
	if n := got.Queries - got.Failed; n < answers {
		return errors.Errorf("%d answers, first failure %s", n, got.FirstFailed)
	}
	return nil
}

// after gives an error until a time has passed since a moment.
func after(moment time.Time, d time.Duration) error {
	if left := d - time.Since(moment); left > 0 {
		return errors.Errorf("%s left", left)
	}
	return nil
}
