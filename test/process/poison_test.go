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
func (r *rig) crashes(index string) (total uint64, byShard map[string]uint64) {
	leaves, err := r.Leaves()
	assert.NilError(r.t, err)
	byShard = make(map[string]uint64)
	for i, l := range leaves {
		if strings.HasPrefix(l.ID, index+"-") {
			total += l.Crashes
			byShard[r.Fleet.Leaves[i].Shard] += l.Crashes
		}
	}
	return total, byShard
}

// detail returns what a Connect error tells beside its code, or nil.
func detail(err error) *medlarv1.ErrorDetail {
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

// others sends harmless queries with changing texts through all entries until
// it is stopped.
func (r *rig) others(class string) (stop func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	var g sync.WaitGroup
	g.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			_, _ = r.Query(ctx, n%len(r.Fleet.VMs), class, fmt.Sprintf("spoon %d", n))
		}
	})
	return func() { cancel(); g.Wait() }
}

// quarantined waits until each entry refuses the poison with a true "not run".
func (r *rig) quarantined(class string) {
	for vm := range r.Fleet.VMs {
		assert.NilError(r.t, harness.Wait(r.ctx, "the refusal", func() error {
			_, err := r.Query(r.ctx, vm, class, standin.PoisonText)
			if d := detail(err); d == nil || d.GetReason() != "quarantined" || !d.GetNotRun() {
				return fmt.Errorf("vm %d: %v", vm, err)
			}
			return nil
		}))
	}
}

// Guards against a request that crashes a leaf wherever it runs and is sent
// again through each entry, with a canary before each unseen request.
func TestPoisonCanaryAlways(t *testing.T) {
	r := newRig(t, "kelani", 1, "driver-lookup")
	defer r.reportFailure()
	defer r.others("driver-lookup")()
	var before uint64
	for _, class := range []string{"driver-lookup", "salinity-match"} {
		for n := range 12 {
			_, err := r.Query(r.ctx, n%len(r.Fleet.VMs), class, standin.PoisonText)
			assert.Assert(t, err != nil)
		}
		r.quarantined(class)
		total, byShard := r.crashes("search")
		assert.Assert(t, total-before <= 2, "%s crashed %d leaves: %v", class, total-before, byShard)
		t.Logf("%s crashed %d leaves", class, total-before)
		before = total
	}
	assert.NilError(t, r.WaitComplete(r.ctx, "driver-lookup"))
}

// Guards against a request that crashes both replicas of a shard, or that
// crashes leaves again when it is sent through another entry.
func TestPoisonSuspect(t *testing.T) {
	r := newRig(t, "valdivia", 1, "course-finder")
	defer r.reportFailure()
	stop := r.others("course-finder")
	defer stop()
	_, err := r.Query(r.ctx, 0, "course-finder", standin.PoisonText)
	t.Logf("first answer: %v", err)
	first, byShard := r.crashes("enrolment")
	for shard, n := range byShard {
		assert.Assert(t, n <= 1, "shard %s lost %d leaves", shard, n)
	}
	for n := range 12 {
		_, err := r.Query(r.ctx, (n+1)%len(r.Fleet.VMs), "course-finder", standin.PoisonText)
		d := detail(err)
		assert.Assert(t, d.GetNotRun() && d.GetReason() == "quarantined", "repeat %d: %v", n, err)
	}
	after, _ := r.crashes("enrolment")
	t.Logf("the first request crashed %d leaves, its repeats %d", first, after-first)
	assert.Equal(t, after, first)
	stop()
	assert.NilError(t, r.WaitComplete(r.ctx, "course-finder"))
}
