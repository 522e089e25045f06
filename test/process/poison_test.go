package process_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// crashes returns how often the leaves of each shard of an index crashed.
func (c *testCluster) crashes(index string) (total uint64, byShard map[string]uint64) {
	leaves, err := c.Leaves()
	assert.NilError(c.t, err)
	byShard = make(map[string]uint64)
	for i, l := range leaves {
		if strings.HasPrefix(l.ID, index+"-") {
			total += l.Crashes
			byShard[c.Fleet.Leaves[i].Shard] += l.Crashes
		}
	}
	return total, byShard
}

// errorDetail returns the ErrorDetail of a Connect error, or nil.
func errorDetail(err error) *medlarv1.ErrorDetail {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		if v, err := d.Value(); err == nil {
			if out, ok := v.(*medlarv1.ErrorDetail); ok {
				return out
			}
		}
	}
	return nil
}

// startHarmlessQueries sends harmless queries with different texts through all
// entries until stop is called.
func (c *testCluster) startHarmlessQueries(class string) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			_, _ = c.Query(ctx, n%len(c.Fleet.VMs), class, fmt.Sprintf("spoon %d", n))
		}
	})
	return func() { cancel(); g.Wait() }
}

// waitQuarantined waits until each entry refuses the poison request as quarantined
// and not run.
func (c *testCluster) waitQuarantined(class string) {
	for vm := range c.Fleet.VMs {
		assert.NilError(c.t, harness.Wait(c.ctx, "the refusal", func() error {
			_, err := c.Query(c.ctx, vm, class, standin.PoisonText)
			if d := errorDetail(err); d == nil || d.GetReason() != "quarantined" || !d.GetNotRun() {
				return fmt.Errorf("vm %d: %v", vm, err)
			}
			return nil
		}))
	}
}

// Guards against a poison request that is repeated through every entry and crashes
// more than 2 leaves, in classes that send a canary before each unseen request.
func TestPoisonCanaryAlways(t *testing.T) {
	c := newTestCluster(t, "kelani", 1, "driver-lookup")
	defer c.reportFailure()
	defer c.startHarmlessQueries("driver-lookup")()
	var before uint64
	for _, class := range []string{"driver-lookup", "salinity-match"} {
		for n := range 12 {
			_, err := c.Query(c.ctx, n%len(c.Fleet.VMs), class, standin.PoisonText)
			assert.Assert(t, err != nil)
		}
		c.waitQuarantined(class)
		total, byShard := c.crashes("search")
		assert.Assert(t, total-before <= 2, "%s crashed %d leaves: %v", class, total-before, byShard)
		t.Logf("%s crashed %d leaves", class, total-before)
		before = total
	}
	assert.NilError(t, c.WaitComplete(c.ctx, "driver-lookup"))
}

// Guards against a poison request that crashes both replicas of a shard, or that
// crashes more leaves when it is repeated through another entry.
func TestPoisonSuspect(t *testing.T) {
	c := newTestCluster(t, "valdivia", 1, "course-finder")
	defer c.reportFailure()
	stop := c.startHarmlessQueries("course-finder")
	defer stop()
	_, err := c.Query(c.ctx, 0, "course-finder", standin.PoisonText)
	t.Logf("first answer: %v", err)
	first, byShard := c.crashes("enrolment")
	for shard, n := range byShard {
		assert.Assert(t, n <= 1, "shard %s lost %d leaves", shard, n)
	}
	for n := range 12 {
		_, err := c.Query(c.ctx, (n+1)%len(c.Fleet.VMs), "course-finder", standin.PoisonText)
		d := errorDetail(err)
		assert.Assert(t, d.GetNotRun() && d.GetReason() == "quarantined", "repeat %d: %v", n, err)
	}
	after, _ := c.crashes("enrolment")
	t.Logf("the first request crashed %d leaves, its repeats %d", first, after-first)
	assert.Equal(t, after, first)
	stop()
	assert.NilError(t, c.WaitComplete(c.ctx, "course-finder"))
}
