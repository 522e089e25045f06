package process_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// testCluster is a cluster with the test that uses it and its context.
type testCluster struct {
	*harness.Cluster
	t   *testing.T
	ctx context.Context
}

// auditClass is a class whose queries wait for all shards. Its answers are complete
// unless connections or leaves fail, regardless of the speed of the machine.
const auditClass = `
[[class]]
name = "course-audit"
index = "enrolment"
scope = "all"
priority = 1
prefer = "coverage"
latency_target = "400ms"
deadline = "3s"
canary = "suspect"
`

func newTestCluster(t *testing.T, user string, perZone int, class string) *testCluster {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	opts := harness.Options{Bin: bin, Dir: t.TempDir(), User: user, VMsPerZone: perZone}
	if user == "valdivia" {
		opts.Classes = auditClass
	}
	c, err := harness.StartReady(ctx, opts, class)
	assert.NilError(t, err)
	t.Cleanup(c.Kill)
	return &testCluster{Cluster: c, t: t, ctx: ctx}
}

func (c *testCluster) withT(t *testing.T) *testCluster {
	return &testCluster{Cluster: c.Cluster, t: t, ctx: c.ctx}
}

// reportFailure logs the state of the cluster if the test has failed.
func (c *testCluster) reportFailure() {
	if c.t.Failed() {
		c.t.Log(c.Report(context.Background()))
	}
}

// controlSubmitLeaves makes both leaves of submitShard fail or recover.
func (c *testCluster) controlSubmitLeaves(action string, args ...string) {
	for _, n := range []string{"-1", "-2"} {
		assert.NilError(c.t, c.ControlLeaf(submitShard+n, action, args...))
	}
}

func (c *testCluster) newSubmit(vm int) *medlarv1.SubmitRequest {
	ticket, err := c.BeginSubmit(c.ctx, vm, "enrol")
	assert.NilError(c.t, err)
	return &medlarv1.SubmitRequest{Ticket: ticket, Class: "enrol", Shard: submitShard, Payload: []byte("student " + ticket)}
}

func (c *testCluster) submit(vm int, req *medlarv1.SubmitRequest) *medlarv1.SubmitResponse {
	resp, err := c.Submit(c.ctx, vm, req)
	assert.NilError(c.t, err, "submit through vm %d", vm)
	return resp
}

// submitAsync sends a submit and returns a channel that receives the response, or
// nil if the call fails.
func (c *testCluster) submitAsync(vm int, req *medlarv1.SubmitRequest) <-chan *medlarv1.SubmitResponse {
	out := make(chan *medlarv1.SubmitResponse, 1)
	go func() {
		resp, _ := c.Submit(c.ctx, vm, req)
		out <- resp
	}()
	return out
}

// checkRuns asserts that the leaves ran the request as often as one of the wanted
// numbers.
func (c *testCluster) checkRuns(req *medlarv1.SubmitRequest, want ...int) {
	c.t.Helper()
	runs, err := c.Runs(req.GetTicket())
	assert.NilError(c.t, err)
	total := 0
	for _, n := range runs {
		total += n
	}
	assert.Assert(c.t, slices.Contains(want, total), "ran %d times at %v, want one of %v", total, runs, want)
}

// submitUntilRunning submits new requests through their issuer until a leaf runs
// one, and returns that request, its answer and the leaf. A request may be refused,
// for example by a process that was paused, but then it must not have run.
func (c *testCluster) submitUntilRunning(vm int) (*medlarv1.SubmitRequest, <-chan *medlarv1.SubmitResponse, string) {
	for {
		req := c.newSubmit(vm)
		answer := c.submitAsync(vm, req)
		leaf, refused := c.waitRunningOrRefused(req, answer)
		if refused == nil {
			return req, answer, leaf
		}
		assert.Equal(c.t, refused.GetOutcome(), notRun, "%v", refused)
		c.checkRuns(req, 0)
	}
}

// waitRunningOrRefused waits until a leaf runs the request and returns the leaf, or
// until the request is answered without a run and returns the answer.
func (c *testCluster) waitRunningOrRefused(req *medlarv1.SubmitRequest, answer <-chan *medlarv1.SubmitResponse) (leaf string, refused *medlarv1.SubmitResponse) {
	assert.NilError(c.t, harness.Wait(c.ctx, "the request to run", func() error {
		runs, err := c.Runs(req.GetTicket())
		if err != nil {
			return err
		}
		leaf = strings.Join(slices.Collect(maps.Keys(runs)), ",")
		if leaf != "" {
			return nil
		}
		select {
		case refused = <-answer:
			return nil
		default:
			return fmt.Errorf("no leaf runs the request")
		}
	}))
	return leaf, refused
}

func (c *testCluster) restart(vm int, role string) { assert.NilError(c.t, c.Restart(c.ctx, vm, role)) }

// vmOfLeaf returns the only VM in the zone of a leaf.
func (c *testCluster) vmOfLeaf(id string) int {
	for _, l := range c.Fleet.Leaves {
		for vm, v := range c.Fleet.VMs {
			if l.ID == id && v.GetZone() == l.Zone {
				return vm
			}
		}
	}
	c.t.Fatalf("leaf %s has no VM", id)
	return 0
}
