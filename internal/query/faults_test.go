package query

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func miss(shard topology.ShardID, reason errs.Reason) Missing { return Missing{shard, reason} }

func partial(covered uint64, missing ...Missing) Answer {
	return Answer{Snapshot: pinned, Covered: covered, Total: 60, Missing: missing}
}

func nothing(err errs.Reason, missing ...Missing) Answer {
	answer := partial(0, missing...)
	answer.Err = err
	return answer
}

var (
	full        = partial(60)
	fullOnNewer = Answer{Snapshot: newer, Covered: 60, Total: 60}
)

// fault is one query over s0 (weight 10), s1 (20) and s2 (30), each with two
// warm replicas, under one fault.
type fault struct {
	name   string
	prefer topology.Preference // latency by default
	canary bool
	budget int
	plan   func(*Plan)
	script func(*harness)
	want   Answer
	sends  []Kind
}

var (
	three      = []Kind{KindFirst, KindFirst, KindFirst}
	threeTwice = []Kind{KindFirst, KindFirst, KindFirst, KindFirst, KindFirst, KindFirst}
)

func and(kinds []Kind, more ...Kind) []Kind { return append(append([]Kind(nil), kinds...), more...) }

// The latency target is 100 ms, the deadline 400 ms.
func (f fault) run(t *testing.T) {
	if f.prefer == "" {
		f.prefer = topology.PreferLatency
	}
	plan := testPlan(pinned, 3, 2)
	if f.plan != nil {
		f.plan(&plan)
	}
	params := Params{
		Prefer: f.prefer, LatencyTarget: 100 * ms, Deadline: 400 * ms,
		Canary: f.canary, MaxAttempts: 3, MaxRestarts: 1,
	}
	h := &harness{t: t, m: New(params, plan), budget: &allowance{f.budget}}
	h.start()
	f.script(h)
	h.wantAnswer(f.want)
	if f.sends == nil {
		f.sends = three
	}
	h.wantSends(f.sends...)
	h.step(replyTo(Send{Attempt: 1}))
	h.timerAt(500 * ms)
}

// Guards against mixed snapshots, false coverage, queries that never end, and
// sends beyond what a fault allows.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, f.run)
	}
}

var faults = []fault{
	{name: "no fault", script: func(h *harness) { h.reply("s0", "s1", "s2") }, want: full},
	{name: "version changes between first and last send", canary: true, script: func(h *harness) {
		h.reply("s0")
		h.retire("s2")
		assert.DeepEqual(h.t, h.replans, []topology.Snapshot{pinned})
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		assert.Equal(h.t, len(h.merged), 0)
		h.reply("s0", "s1", "s2")
	}, want: fullOnNewer, sends: and([]Kind{KindCanary, KindFirst, KindFirst}, three...)},
	{name: "leaf switches to a newer snapshot while it answers", script: func(h *harness) {
		r := replyTo(h.last("s1"))
		r.Snapshot = newer
		h.step(r)
		assert.Equal(h.t, h.m.Counters().WrongSnapshot, uint64(1))
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s1", "s2")
	}, want: fullOnNewer, sends: threeTwice},
	{name: "replicas on different versions", budget: 1, script: func(h *harness) {
		r := replyTo(h.last("s1"))
		r.Snapshot = older
		h.step(r)
		h.reply("s0", "s1", "s2")
	}, want: full, sends: and(three, KindRetry)},
	{name: "repartition during the query", script: func(h *harness) {
		old := h.last("s0")
		h.retire("s1")
		next := topology.Snapshot{IndexVersion: 7, PartitionGeneration: 4}
		h.step(Replanned{Plan: testPlan(next, 4, 1), OK: true})
		h.step(replyTo(old))
		assert.Equal(h.t, h.m.Counters().ClosedAttempt, uint64(1))
		h.reply("s0", "s1", "s2", "s3")
	}, want: Answer{Snapshot: topology.Snapshot{IndexVersion: 7, PartitionGeneration: 4}, Covered: 100, Total: 100},
		sends: and(threeTwice, KindFirst)},
	{name: "retired without time left", script: func(h *harness) {
		h.now = 51 * ms
		h.retire("s1")
		h.reply("s0", "s2")
	}, want: partial(40, miss("s1", errs.ReasonVersionRetired))},
	{name: "retired without time left, replica still has it", budget: 1, script: func(h *harness) {
		h.now = 51 * ms
		h.retire("s1")
		h.reply("s0", "s1", "s2")
	}, want: full, sends: and(three, KindMove)},
	{name: "retired, coverage class has a quarter left", prefer: topology.PreferCoverage, script: func(h *harness) {
		h.now = 300 * ms
		h.retire("s1")
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s1", "s2")
	}, want: fullOnNewer, sends: threeTwice},
	{name: "retired, coverage class has less than a quarter left", prefer: topology.PreferCoverage, script: func(h *harness) {
		h.now = 301 * ms
		h.retire("s1")
		h.reply("s0", "s2")
	}, want: partial(40, miss("s1", errs.ReasonVersionRetired))},
	{name: "retired, no newer snapshot", script: func(h *harness) {
		h.reply("s0")
		h.retire("s1")
		h.step(Replanned{})
		h.reply("s2")
	}, want: partial(40, miss("s1", errs.ReasonVersionRetired))},
	{name: "retired, new plan is not newer", script: func(h *harness) {
		h.retire("s1")
		h.step(Replanned{Plan: testPlan(pinned, 3, 2), OK: true})
		h.reply("s0", "s2")
	}, want: partial(40, miss("s1", errs.ReasonVersionRetired))},
	{name: "retired again after the last restart", script: func(h *harness) {
		h.retire("s1")
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s2")
		h.retire("s1")
	}, want: Answer{Snapshot: newer, Covered: 40, Total: 60, Missing: []Missing{miss("s1", errs.ReasonVersionRetired)}}, sends: threeTwice},
	{name: "retired, plan never comes", script: func(h *harness) {
		h.retire("s1")
		h.reply("s0", "s2")
		h.timerAt(100 * ms)
	}, want: partial(40, miss("s1", errs.ReasonVersionRetired))},
	{name: "replica lost", budget: 1, script: func(h *harness) {
		h.fail("s1", errs.ReasonConnectionLost)
		h.reply("s0", "s1", "s2")
	}, want: full, sends: and(three, KindRetry)},
	{name: "replica refuses without running", budget: 1, script: func(h *harness) {
		h.step(Failed{Attempt: h.last("s1").Attempt, Reason: errs.ReasonZoneOut, NotRun: true})
		h.reply("s0", "s1", "s2")
	}, want: full, sends: and(three, KindMove)},
	{name: "both replicas of a shard lost", budget: 9, script: func(h *harness) {
		h.fail("s1", errs.ReasonConnectionLost)
		h.fail("s1", errs.ReasonDown)
		h.reply("s0", "s2")
	}, want: partial(40, miss("s1", errs.ReasonDown)), sends: and(three, KindRetry)},
	{name: "every shard lost", script: func(h *harness) {
		h.fail("s0", errs.ReasonDown)
		h.fail("s1", errs.ReasonDown)
		h.fail("s2", errs.ReasonShed)
	}, want: nothing(errs.ReasonShed, miss("s0", errs.ReasonDown), miss("s1", errs.ReasonDown), miss("s2", errs.ReasonShed))},
	{name: "late replies after the answer", script: func(h *harness) {
		h.reply("s0")
		h.timerAt(100 * ms)
		assert.DeepEqual(h.t, h.aborted, []uint64{2, 3})
		h.reply("s1", "s2")
	}, want: partial(10, miss("s1", errs.ReasonDeadline), miss("s2", errs.ReasonDeadline))},
	{name: "duplicate reply", script: func(h *harness) {
		h.reply("s0", "s0", "s0")
		assert.Equal(h.t, h.m.Counters().ClosedAttempt, uint64(2))
		h.reply("s1", "s2")
	}, want: full},
	{name: "replies for the wrong shard, leaf and attempt", script: func(h *harness) {
		r := replyTo(h.last("s0"))
		r.Attempt = h.last("s1").Attempt
		h.step(r)
		r.Shard = "s1"
		h.step(r)
		r.Attempt = 99
		h.step(r)
		c := h.m.Counters()
		assert.DeepEqual(h.t, c, Counters{WrongShard: 1, WrongLeaf: 1, UnknownAttempt: 1})
		h.reply("s0", "s1", "s2")
	}, want: full},
	{name: "empty reply covers, missing one does not", script: func(h *harness) {
		r := replyTo(h.last("s0"))
		r.Items = 0
		h.step(r)
		h.timerAt(100 * ms)
		assert.Equal(h.t, h.m.Counters().EmptyReplies, uint64(1))
	}, want: partial(10, miss("s1", errs.ReasonDeadline), miss("s2", errs.ReasonDeadline))},
	{name: "deadline between two replies", prefer: topology.PreferCoverage, script: func(h *harness) {
		h.timerAt(100 * ms)
		h.reply("s0", "s2")
		h.timerAt(400 * ms)
		h.reply("s1")
	}, want: partial(40, miss("s1", errs.ReasonDeadline))},
	{name: "nothing at the latency target waits for the first reply", script: func(h *harness) {
		h.timerAt(100 * ms)
		assert.Equal(h.t, h.wake, 400*ms)
		h.now = 150 * ms
		h.reply("s2")
	}, want: partial(30, miss("s0", errs.ReasonDeadline), miss("s1", errs.ReasonDeadline))},
	{name: "nothing until the deadline", script: func(h *harness) { h.timerAt(400 * ms) },
		want: nothing(errs.ReasonDeadline, miss("s0", errs.ReasonDeadline), miss("s1", errs.ReasonDeadline), miss("s2", errs.ReasonDeadline))},
	{name: "hedge wins", budget: 1, script: func(h *harness) {
		h.reply("s0", "s1")
		h.timerAt(h.wake)
		h.reply("s2")
		assert.DeepEqual(h.t, h.aborted, []uint64{3})
		assert.Equal(h.t, h.m.Counters().HedgeWins, uint64(1))
	}, want: full, sends: and(three, KindHedge)},
	{name: "hedge loses", budget: 1, script: func(h *harness) {
		first := h.last("s2")
		h.reply("s0", "s1")
		h.timerAt(h.wake)
		h.step(replyTo(first))
		assert.DeepEqual(h.t, h.aborted, []uint64{4})
	}, want: full, sends: and(three, KindHedge)},
	{name: "first attempt lost while hedged", budget: 2, script: func(h *harness) {
		first := h.last("s2")
		h.reply("s0", "s1")
		h.timerAt(20 * ms)
		h.step(Failed{Attempt: first.Attempt, Reason: errs.ReasonConnectionLost})
		h.reply("s2")
	}, want: full, sends: and(three, KindHedge)},
	{name: "retired hedge while the first attempt replies", budget: 1, script: func(h *harness) {
		first := h.last("s2")
		h.reply("s0")
		h.timerAt(20 * ms)
		h.retire("s1")
		h.step(replyTo(first))
		h.step(replyTo(h.sends[1]))
	}, want: full, sends: and(three, KindHedge)},
	{name: "no hedge to a cold replica", budget: 9, plan: func(p *Plan) {
		for i := range p.Shards {
			p.Shards[i].Candidates[1].Warm = false
		}
	}, script: func(h *harness) {
		h.timerAt(20 * ms)
		h.reply("s0", "s1", "s2")
	}, want: full},
	{name: "budget denied", script: func(h *harness) {
		h.timerAt(20 * ms)
		h.fail("s1", errs.ReasonShed)
		assert.Equal(h.t, h.m.Counters().Denied, uint64(4))
		h.reply("s0", "s2")
	}, want: partial(40, miss("s1", errs.ReasonShed))},
	{name: "canary replies", canary: true, script: func(h *harness) {
		h.wantSends(KindCanary)
		h.timerAt(50 * ms)
		h.wantSends(KindCanary)
		h.reply("s0", "s1", "s2")
	}, budget: 9, want: full, sends: []Kind{KindCanary, KindFirst, KindFirst}},
	{name: "canary fails cleanly", canary: true, budget: 1, script: func(h *harness) {
		h.fail("s0", errs.ReasonDown)
		h.reply("s0", "s1", "s2")
	}, want: full, sends: []Kind{KindCanary, KindFirst, KindFirst, KindRetry}},
	{name: "canary does not answer", canary: true, script: func(h *harness) { h.timerAt(400 * ms) },
		want:  nothing(errs.ReasonDeadline, miss("s0", errs.ReasonDeadline), miss("s1", errs.ReasonDeadline), miss("s2", errs.ReasonDeadline)),
		sends: []Kind{KindCanary}},
	{name: "crash during canary", canary: true, budget: 9, script: func(h *harness) { h.crash("s0") },
		want:  nothing(errs.ReasonCrashed, miss("s0", errs.ReasonCrashed), miss("s1", errs.ReasonQuarantined), miss("s2", errs.ReasonQuarantined)),
		sends: []Kind{KindCanary}},
	{name: "crash in fan-out", budget: 9, script: func(h *harness) {
		h.crash("s0")
		h.fail("s1", errs.ReasonConnectionLost)
		h.timerAt(20 * ms)
		h.reply("s2")
	}, want: partial(30, miss("s0", errs.ReasonCrashed), miss("s1", errs.ReasonConnectionLost))},
	{name: "crash of an aborted hedge", budget: 9, script: func(h *harness) {
		first := h.last("s0")
		h.reply("s1")
		h.timerAt(20 * ms)
		h.step(replyTo(first))
		h.crash("s0")
		h.step(Failed{Attempt: 3, Reason: errs.ReasonDown})
		h.fail("s2", errs.ReasonDown)
	}, want: partial(30, miss("s2", errs.ReasonDown)), sends: and(three, KindHedge, KindHedge)},
	{name: "crash while a newer plan is awaited", budget: 9, script: func(h *harness) {
		h.retire("s0")
		h.crash("s1")
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s2")
	}, want: partial(30, miss("s0", errs.ReasonVersionRetired), miss("s1", errs.ReasonCrashed))},
	{name: "caller gone", script: func(h *harness) {
		h.reply("s0")
		h.step(CallerGone{})
		assert.DeepEqual(h.t, h.aborted, []uint64{2, 3})
	}, want: Answer{Snapshot: pinned, Covered: 10, Total: 60, Err: errs.ReasonCancelled,
		Missing: []Missing{miss("s1", errs.ReasonCancelled), miss("s2", errs.ReasonCancelled)}}},
	{name: "shard without leaf", plan: func(p *Plan) {
		p.Shards[0].Candidates, p.Shards[0].Unavailable = nil, errs.ReasonZoneOut
	}, script: func(h *harness) { h.reply("s1", "s2") },
		want: partial(50, miss("s0", errs.ReasonZoneOut)), sends: three[:2]},
	{name: "weights of zero", plan: func(p *Plan) {
		for i := range p.Shards {
			p.Shards[i].Weight = 0
		}
	}, script: func(h *harness) { h.reply("s0", "s1", "s2") }, want: Answer{Snapshot: pinned}},
	{name: "no shards", plan: func(p *Plan) { p.Shards = nil }, script: func(*harness) {},
		want: Answer{Snapshot: pinned, Err: errs.ReasonNoConfig}, sends: []Kind{}},
}
