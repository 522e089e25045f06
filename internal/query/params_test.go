package query

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func startedQuery(t *testing.T, params Params, shards, budget int) *harness {
	if params.Deadline == 0 {
		params.Deadline = time.Second
	}
	h := &harness{t: t, machine: New(params, testPlan(pinned, shards, 2)), budget: &fixedBudget{budget}}
	h.start()
	return h
}

// Guards against hedges that use up the budget on shards that are about to reply,
// so that the straggler gets none. This happens when most replies take longer than
// the hedge delay, as over new connections.
func TestHedgesAreKeptForStragglers(t *testing.T) {
	params := Params{MaxAttempts: 2, HedgeQuorum: 0.75, HedgeQuorumTimeout: 60 * ms}
	h := startedQuery(t, params, 8, 1)
	h.fireTimerAt(25 * ms)
	assert.Equal(t, len(h.sends), 8)
	h.now = 35 * ms
	for i := range 6 {
		h.reply(topology.ShardID(fmt.Sprint("s", i)))
	}
	assert.Assert(t, h.wake <= 35*ms, "no wake-up when the quorum was reached, the next is at %s", h.wake)
	h.reply("s6")
	h.fireTimerAt(36 * ms)
	assert.Equal(t, len(h.sends), 9)
	assert.Equal(t, h.lastSend("s7").Kind, KindHedge)
}

// Guards against a query that never hedges because too many shards straggle for
// the quorum to be reached.
func TestHedgesAreSentAfterQuorumTimeout(t *testing.T) {
	h := startedQuery(t, Params{MaxAttempts: 2, HedgeQuorum: 0.75, HedgeQuorumTimeout: 60 * ms}, 4, 9)
	h.fireTimerAt(30 * ms)
	assert.Equal(t, len(h.sends), 4)
	assert.Equal(t, h.wake, 60*ms)
	h.fireTimerAt(60 * ms)
	assert.Equal(t, len(h.sends), 8)
}

// Guards against an early answer with less than the minimum coverage, and against
// a query that waits although the minimum can no longer be reached.
func TestMinCoveredWeight(t *testing.T) {
	params := Params{Prefer: topology.PreferLatency, LatencyTarget: 100 * ms, MinCoveredWeight: 50, MaxAttempts: 1}
	h := startedQuery(t, params, 3, 0)
	h.reply("s0", "s1")
	h.fireTimerAt(100 * ms)
	assert.Assert(t, h.answer == nil)
	h.reply("s2")
	h.wantAnswer(Answer{Snapshot: pinned, CoveredWeight: 60, TotalWeight: 60})

	h = startedQuery(t, params, 3, 0)
	h.fail("s2", errs.ReasonDown)
	assert.Assert(t, h.answer != nil, "query waits for a minimum coverage that it cannot reach")

	plan := testPlan(pinned, 3, 2)
	plan.Shards[2].Candidates = nil
	h = &harness{t: t, machine: New(Params{MinCoveredWeight: 50, Deadline: time.Second}, plan), budget: &fixedBudget{}}
	h.start()
	assert.Equal(t, len(h.sends), 0)
	assert.Assert(t, h.answer != nil)
}

// Guards against a second run of a request that may run only once, and against
// giving up a request that is known not to have run.
func TestAtMostOnce(t *testing.T) {
	params := Params{MaxAttempts: 2, AtMostOnce: true}
	h := startedQuery(t, params, 1, 9)
	h.fireTimerAt(30 * ms)
	h.fail("s0", errs.ReasonConnectionLost)
	assert.Equal(t, len(h.sends), 1)
	assert.Assert(t, h.answer != nil)

	h = startedQuery(t, params, 1, 9)
	h.step(Failed{Attempt: 1, Reason: errs.ReasonShed, NotRun: true})
	h.wantSends(KindFirst, KindMove)
}
