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
	h := &harness{t: t, m: New(params, testPlan(pinned, shards, 2)), budget: &allowance{budget}}
	h.start()
	return h
}

// Load pattern: new connections make most replies take longer than the hedge
// delay. Guards against a budget that is spent on shards that are about to reply,
// so that the straggler gets no hedge.
func TestHedgesAreKeptForStragglers(t *testing.T) {
	params := Params{MaxAttempts: 2, HedgeQuorum: 0.75, HedgeQuorumTimeout: 60 * ms}
	h := startedQuery(t, params, 8, 1)
	h.timerAt(25 * ms)
	assert.Equal(t, len(h.sends), 8)
	h.now = 35 * ms
	for i := range 6 {
		h.reply(topology.ShardID(fmt.Sprint("s", i)))
	}
	assert.Assert(t, h.wake <= 35*ms, "no timer when the quorum was reached, but at %s", h.wake)
	h.reply("s6")
	h.timerAt(36 * ms)
	assert.Equal(t, len(h.sends), 9)
	assert.Equal(t, h.last("s7").Kind, KindHedge)
}

// Guards against a query without hedges when more shards straggle than the
// quorum leaves out.
func TestHedgesAreDueAtTheLatest(t *testing.T) {
	h := startedQuery(t, Params{MaxAttempts: 2, HedgeQuorum: 0.75, HedgeQuorumTimeout: 60 * ms}, 4, 9)
	h.timerAt(30 * ms)
	assert.Equal(t, len(h.sends), 4)
	assert.Equal(t, h.wake, 60*ms)
	h.timerAt(60 * ms)
	assert.Equal(t, len(h.sends), 8)
}

// Guards against an answer with less than the least coverage, and against a
// query that waits although the least can no longer be reached.
func TestLeastCoverage(t *testing.T) {
	params := Params{Prefer: topology.PreferLatency, LatencyTarget: 100 * ms, MinCoveredWeight: 50, MaxAttempts: 1}
	h := startedQuery(t, params, 3, 0)
	h.reply("s0", "s1")
	h.timerAt(100 * ms)
	assert.Assert(t, h.answer == nil)
	h.reply("s2")
	h.wantAnswer(Answer{Snapshot: pinned, Covered: 60, Total: 60})

	h = startedQuery(t, params, 3, 0)
	h.fail("s2", errs.ReasonDown)
	assert.Assert(t, h.answer != nil, "still waiting for a coverage that is out of reach")

	plan := testPlan(pinned, 3, 2)
	plan.Shards[2].Candidates = nil
	h = &harness{t: t, m: New(Params{MinCoveredWeight: 50, Deadline: time.Second}, plan), budget: &allowance{}}
	h.start()
	assert.Equal(t, len(h.sends), 0)
	assert.Assert(t, h.answer != nil)
}

// Guards against a second run of a request that may run only once, and against
// one that is given up although it is known not to have run.
func TestAtMostOnce(t *testing.T) {
	params := Params{MaxAttempts: 2, AtMostOnce: true}
	h := startedQuery(t, params, 1, 9)
	h.timerAt(30 * ms)
	h.fail("s0", errs.ReasonConnectionLost)
	assert.Equal(t, len(h.sends), 1)
	assert.Assert(t, h.answer != nil)

	h = startedQuery(t, params, 1, 9)
	h.step(Failed{Attempt: 1, Reason: errs.ReasonShed, NotRun: true})
	h.wantSends(KindFirst, KindMove)
}
