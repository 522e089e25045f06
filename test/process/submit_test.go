package process_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/harness"
)

const (
	done        = medlarv1.SubmitOutcome_SUBMIT_OUTCOME_DONE
	notRun      = medlarv1.SubmitOutcome_SUBMIT_OUTCOME_NOT_RUN
	unknown     = medlarv1.SubmitOutcome_SUBMIT_OUTCOME_UNKNOWN
	submitShard = "enrolment-01"
)

// Guards against a request that runs twice when its caller repeats it at the
// same time and later.
func submitRepeated(r *rig) {
	r.leaves("slow", "ms", "300")
	req := r.begin(0)
	var g sync.WaitGroup
	answers := make([]*medlarv1.SubmitResponse, 6)
	for i := range answers {
		g.Go(func() { answers[i], _ = r.Submit(r.ctx, i%3, req) })
	}
	g.Wait()
	answers = append(answers, r.submit(1, req))
	for i, a := range answers {
		assert.Equal(r.t, a.GetOutcome(), done, "answer %d: %v", i, a)
		assert.DeepEqual(r.t, a.GetResult(), answers[0].GetResult())
	}
	r.runs(req, 1)
}

// Guards against another entry that runs the request of an issuer that died
// while it ran, also after the issuer has a new boot.
func submitIssuerKilled(r *rig) {
	r.leaves("slow", "ms", "800")
	unused := r.begin(0)
	req, first, _ := r.startSubmit(0)
	r.Process(0, harness.RoleEntry).Kill()
	<-first
	assert.Equal(r.t, r.submit(1, req).GetOutcome(), unknown)
	r.restart(0, harness.RoleEntry)
	for vm := range 3 {
		assert.Equal(r.t, r.submit(vm, req).GetOutcome(), unknown)
		assert.Equal(r.t, r.submit(vm, unused).GetOutcome(), unknown)
	}
	r.runs(req, 1)
	r.runs(unused, 0)
}

// Guards against a repeat that runs while the issuer is frozen with the
// request in hand, and against an issuer that runs it again afterwards.
func submitIssuerFrozen(r *rig) {
	r.leaves("slow", "ms", "800")
	unsent := r.begin(0)
	sent, first, _ := r.startSubmit(0)
	issuer := r.Process(0, harness.RoleEntry)
	assert.NilError(r.t, issuer.Signal(syscall.SIGSTOP))
	late := r.submitAsync(2, unsent)
	assert.Equal(r.t, r.submit(1, sent).GetOutcome(), unknown)
	assert.Equal(r.t, (<-late).GetOutcome(), unknown)
	assert.NilError(r.t, issuer.Signal(syscall.SIGCONT))
	<-first
	assert.NilError(r.t, r.WaitReady(r.ctx))
	r.finalOutcome(sent, 1)
	r.finalOutcome(unsent, 0)
	r.runs(sent, 1)
}

// finalOutcome checks that a repeat's answer agrees with the leaves, and that
// the next repeat answers the same.
func (r *rig) finalOutcome(req *medlarv1.SubmitRequest, vm int) {
	var got *medlarv1.SubmitResponse
	assert.NilError(r.t, harness.Wait(r.ctx, "an answer of the issuer", func() error {
		got = r.submit(vm, req)
		// A recorded outcome may have the same reason: the issuer may have lost
		// its relay.
		if !got.GetRepeatedCall() && (got.GetReason() == "connection-lost" || got.GetReason() == "issuer-gone") {
			return fmt.Errorf("not connected: %v", got)
		}
		return nil
	}))
	assert.Equal(r.t, r.submit(0, req).GetOutcome(), got.GetOutcome())
	r.agree(req, got.GetOutcome())
}

// agree checks an outcome against what the leaves counted.
func (r *rig) agree(req *medlarv1.SubmitRequest, outcome medlarv1.SubmitOutcome) {
	r.t.Helper()
	r.runs(req, map[medlarv1.SubmitOutcome][]int{done: {1}, notRun: {0}, unknown: {0, 1}}[outcome]...)
}

// Guards against an entry that sends the request to the other replica because
// the relay that had it died.
func submitRelayKilled(r *rig) {
	r.leaves("slow", "ms", "800")
	req, first, leaf := r.startSubmit(0)
	vm := r.vmOfLeaf(leaf)
	r.Process(vm, harness.RoleRelay).Kill()
	assert.Equal(r.t, (<-first).GetOutcome(), unknown)
	assert.Equal(r.t, r.submit(1, req).GetOutcome(), unknown)
	r.restart(vm, harness.RoleRelay)
	r.runs(req, 1)
}

// Guards against a refusal that says "not run" of a request that ran or runs
// later.
func submitNotRun(r *rig) {
	for _, actions := range [][2]string{{"leave", "stay"}, {"stop", "start"}} {
		req := r.begin(0)
		r.leaves(actions[0])
		got := r.submit(1, req)
		r.leaves(actions[1])
		assert.Equal(r.t, got.GetOutcome(), notRun, "%s: %v", actions[0], got)
		assert.Equal(r.t, r.submit(2, req).GetOutcome(), notRun)
		r.runs(req, 0)
	}
}

// Guards against a wrong outcome when requests are shed, cancelled and lost
// with their leaf.
func submitOverload(r *rig) {
	r.leaves("slow", "ms", "100")
	var g sync.WaitGroup
	answers := make([]*medlarv1.SubmitResponse, 60)
	reqs := make([]*medlarv1.SubmitRequest, len(answers))
	for i := range reqs {
		reqs[i] = r.begin(i % 3)
		g.Go(func() { answers[i], _ = r.Submit(r.ctx, (i+1)%3, reqs[i]) })
	}
	_, _, leaf := r.startSubmit(0)
	assert.NilError(r.t, r.ControlLeaf(leaf, "crash"))
	g.Wait()
	counts := make(map[medlarv1.SubmitOutcome]int)
	for i, a := range answers {
		assert.Assert(r.t, a != nil, "request %d failed", i)
		counts[a.GetOutcome()]++
		r.agree(reqs[i], a.GetOutcome())
	}
	r.t.Logf("outcomes %v", counts)
	assert.Assert(r.t, counts[done] > 0)
}

var submitFaults = []struct {
	name string
	run  func(*rig)
}{
	{"repeated", submitRepeated},
	{"issuer killed", submitIssuerKilled},
	{"issuer frozen", submitIssuerFrozen},
	{"relay killed", submitRelayKilled},
	{"overload", submitOverload},
	{"not run", submitNotRun},
}

func TestSubmitAtMostOnce(t *testing.T) { submitAll(t, "up") }

func TestSubmitStoreDown(t *testing.T) { submitAll(t, "down") }

func submitAll(t *testing.T, store string) {
	r := newRig(t, "valdivia", 1, "course-finder")
	assert.NilError(t, r.ControlStore(store))
	for _, f := range submitFaults {
		t.Run(f.name, func(t *testing.T) {
			began := time.Now()
			defer func() { t.Logf("took %s", time.Since(began).Round(time.Millisecond)) }()
			defer r.on(t).reportFailure()
			f.run(r.on(t))
			r.leaves("slow", "ms", "0")
		})
	}
}

// Guards against an entry that runs a ticket itself because the list dropped
// the VM that issued it.
func TestSubmitIssuerDropped(t *testing.T) {
	r := newRig(t, "valdivia", 1, "course-finder")
	ran, unused := r.begin(0), r.begin(0)
	assert.Equal(t, r.submit(0, ran).GetOutcome(), done)
	assert.NilError(t, r.ControlVM("vm-1", "remove"))
	for _, vm := range []int{1, 2} {
		assert.NilError(t, harness.Wait(r.ctx, "the list without vm-1", func() error {
			status, err := r.Status(r.ctx, vm, harness.RoleEntry)
			if err == nil && len(status.GetVms()) != 2 {
				return fmt.Errorf("%d VMs listed", len(status.GetVms()))
			}
			return err
		}))
		assert.Equal(t, r.submit(vm, ran).GetOutcome(), unknown)
		assert.Equal(t, r.submit(vm, unused).GetOutcome(), unknown)
	}
	r.runs(ran, 1)
	r.runs(unused, 0)
}
