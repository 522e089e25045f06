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

// Guards against a request that runs twice when its caller repeats it concurrently
// and later.
func submitRepeated(c *testCluster) {
	c.controlSubmitLeaves("slow", "ms", "300")
	req := c.newSubmit(0)
	var g sync.WaitGroup
	answers := make([]*medlarv1.SubmitResponse, 6)
	for i := range answers {
		g.Go(func() { answers[i], _ = c.Submit(c.ctx, i%3, req) })
	}
	g.Wait()
	answers = append(answers, c.submit(1, req))
	for i, a := range answers {
		assert.Equal(c.t, a.GetOutcome(), done, "answer %d: %v", i, a)
		assert.DeepEqual(c.t, a.GetResult(), answers[0].GetResult())
	}
	c.checkRuns(req, 1)
}

// Guards against another entry that runs a request again after its issuer was
// killed during the run, also when the issuer is back with a new boot ID.
func submitIssuerKilled(c *testCluster) {
	c.controlSubmitLeaves("slow", "ms", "800")
	unused := c.newSubmit(0)
	req, first, _ := c.submitUntilRunning(0)
	c.Process(0, harness.RoleEntry).Kill()
	<-first
	assert.Equal(c.t, c.submit(1, req).GetOutcome(), unknown)
	c.restart(0, harness.RoleEntry)
	for vm := range 3 {
		assert.Equal(c.t, c.submit(vm, req).GetOutcome(), unknown)
		assert.Equal(c.t, c.submit(vm, unused).GetOutcome(), unknown)
	}
	c.checkRuns(req, 1)
	c.checkRuns(unused, 0)
}

// Guards against a repeated request that runs while its issuer is paused during the
// first run, and against an issuer that runs it again when it resumes.
func submitIssuerFrozen(c *testCluster) {
	c.controlSubmitLeaves("slow", "ms", "800")
	unsent := c.newSubmit(0)
	sent, first, _ := c.submitUntilRunning(0)
	issuer := c.Process(0, harness.RoleEntry)
	assert.NilError(c.t, issuer.Signal(syscall.SIGSTOP))
	late := c.submitAsync(2, unsent)
	assert.Equal(c.t, c.submit(1, sent).GetOutcome(), unknown)
	assert.Equal(c.t, (<-late).GetOutcome(), unknown)
	assert.NilError(c.t, issuer.Signal(syscall.SIGCONT))
	<-first
	assert.NilError(c.t, c.WaitReady(c.ctx))
	c.checkFinalOutcome(sent, 1)
	c.checkFinalOutcome(unsent, 0)
	c.checkRuns(sent, 1)
}

// checkFinalOutcome asserts that the answer to a repeated request agrees with the
// runs at the leaves, and that the next repeat has the same outcome.
func (c *testCluster) checkFinalOutcome(req *medlarv1.SubmitRequest, vm int) {
	var got *medlarv1.SubmitResponse
	assert.NilError(c.t, harness.Wait(c.ctx, "an answer of the issuer", func() error {
		got = c.submit(vm, req)
		// Such a reason may also be part of the recorded outcome, when the issuer lost
		// its relay. Then it is final.
		if !got.GetRepeatedCall() && (got.GetReason() == "connection-lost" || got.GetReason() == "issuer-gone") {
			return fmt.Errorf("not connected: %v", got)
		}
		return nil
	}))
	assert.Equal(c.t, c.submit(0, req).GetOutcome(), got.GetOutcome())
	c.checkOutcome(req, got.GetOutcome())
}

// checkOutcome asserts that an outcome agrees with the runs that the leaves count.
func (c *testCluster) checkOutcome(req *medlarv1.SubmitRequest, outcome medlarv1.SubmitOutcome) {
	c.t.Helper()
	c.checkRuns(req, map[medlarv1.SubmitOutcome][]int{done: {1}, notRun: {0}, unknown: {0, 1}}[outcome]...)
}

// Guards against an entry that sends a request to the other replica because the
// relay that was running it was killed.
func submitRelayKilled(c *testCluster) {
	c.controlSubmitLeaves("slow", "ms", "800")
	req, first, leaf := c.submitUntilRunning(0)
	vm := c.vmOfLeaf(leaf)
	c.Process(vm, harness.RoleRelay).Kill()
	assert.Equal(c.t, (<-first).GetOutcome(), unknown)
	assert.Equal(c.t, c.submit(1, req).GetOutcome(), unknown)
	c.restart(vm, harness.RoleRelay)
	c.checkRuns(req, 1)
}

// Guards against the outcome "not run" for a request that ran or runs later.
func submitNotRun(c *testCluster) {
	for _, actions := range [][2]string{{"leave", "stay"}, {"stop", "start"}} {
		req := c.newSubmit(0)
		c.controlSubmitLeaves(actions[0])
		got := c.submit(1, req)
		c.controlSubmitLeaves(actions[1])
		assert.Equal(c.t, got.GetOutcome(), notRun, "%s: %v", actions[0], got)
		assert.Equal(c.t, c.submit(2, req).GetOutcome(), notRun)
		c.checkRuns(req, 0)
	}
}

// Guards against a wrong outcome when requests are shed or cancelled, or lost in
// the crash of their leaf.
func submitOverload(c *testCluster) {
	c.controlSubmitLeaves("slow", "ms", "100")
	var g sync.WaitGroup
	answers := make([]*medlarv1.SubmitResponse, 60)
	reqs := make([]*medlarv1.SubmitRequest, len(answers))
	for i := range reqs {
		reqs[i] = c.newSubmit(i % 3)
		g.Go(func() { answers[i], _ = c.Submit(c.ctx, (i+1)%3, reqs[i]) })
	}
	_, _, leaf := c.submitUntilRunning(0)
	assert.NilError(c.t, c.ControlLeaf(leaf, "crash"))
	g.Wait()
	counts := make(map[medlarv1.SubmitOutcome]int)
	for i, a := range answers {
		assert.Assert(c.t, a != nil, "request %d failed", i)
		counts[a.GetOutcome()]++
		c.checkOutcome(reqs[i], a.GetOutcome())
	}
	c.t.Logf("outcomes %v", counts)
	assert.Assert(c.t, counts[done] > 0)
}

var submitFaults = []struct {
	name string
	run  func(*testCluster)
}{
	{"repeated", submitRepeated},
	{"issuer killed", submitIssuerKilled},
	{"issuer frozen", submitIssuerFrozen},
	{"relay killed", submitRelayKilled},
	{"overload", submitOverload},
	{"not run", submitNotRun},
}

func TestSubmitAtMostOnce(t *testing.T) { runSubmitFaults(t, "up") }

func TestSubmitStoreDown(t *testing.T) { runSubmitFaults(t, "down") }

func runSubmitFaults(t *testing.T, store string) {
	c := newTestCluster(t, "valdivia", 1, "course-finder")
	assert.NilError(t, c.ControlStore(store))
	for _, f := range submitFaults {
		t.Run(f.name, func(t *testing.T) {
			began := time.Now()
			defer func() { t.Logf("took %s", time.Since(began).Round(time.Millisecond)) }()
			defer c.withT(t).reportFailure()
			f.run(c.withT(t))
			c.controlSubmitLeaves("slow", "ms", "0")
		})
	}
}

// Guards against an entry that runs the request of a ticket itself because the
// platform removed the ticket's issuer from the VM list.
func TestSubmitIssuerDropped(t *testing.T) {
	c := newTestCluster(t, "valdivia", 1, "course-finder")
	ran, unused := c.newSubmit(0), c.newSubmit(0)
	assert.Equal(t, c.submit(0, ran).GetOutcome(), done)
	assert.NilError(t, c.ControlVM("vm-1", "remove"))
	for _, vm := range []int{1, 2} {
		assert.NilError(t, harness.Wait(c.ctx, "a VM list without vm-1", func() error {
			status, err := c.Status(c.ctx, vm, harness.RoleEntry)
			if err == nil && len(status.GetVms()) != 2 {
				return fmt.Errorf("%d VMs listed", len(status.GetVms()))
			}
			return err
		}))
		assert.Equal(t, c.submit(vm, ran).GetOutcome(), unknown)
		assert.Equal(t, c.submit(vm, unused).GetOutcome(), unknown)
	}
	c.checkRuns(ran, 1)
	c.checkRuns(unused, 0)
}
