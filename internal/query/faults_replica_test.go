package query

import (
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// onlyFirst leaves one leaf per shard, as while an availability zone is out.
func onlyFirst(p *Plan) {
	for i := range p.Shards {
		p.Shards[i].Candidates = p.Shards[i].Candidates[:1]
	}
}

// replicaFaults are lost, late, stray and slow replies.
var replicaFaults = []fault{
	{name: "no fault", script: func(h *harness) { h.reply("s0", "s1", "s2") }, want: full},
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
		r.Hits = 0
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
		h.timerAt(40 * ms)
		for i, s := range h.sends {
			assert.Equal(h.t, s.Leaf, h.sends[i%3].Leaf)
		}
		h.reply("s0", "s1", "s2")
	}, want: full, sends: and(three, KindHedge, KindHedge, KindHedge)},
	{name: "only leaf is warm and slow", budget: 9, plan: onlyFirst, script: func(h *harness) {
		h.reply("s0", "s1")
		h.timerAt(20 * ms)
		assert.Equal(h.t, len(h.sends), 3)
		h.timerAt(40 * ms)
		repeat := h.last("s2")
		assert.Equal(h.t, repeat.Leaf, h.sends[2].Leaf)
		assert.Equal(h.t, repeat.RepeatOf, h.sends[2].Attempt)
		h.timerAt(90 * ms)
		h.step(replyTo(repeat))
		assert.DeepEqual(h.t, h.aborted, []uint64{3})
	}, want: full, sends: and(three, KindHedge)},
	{name: "only leaf is slow and refuses the repeat", budget: 9, plan: onlyFirst, script: func(h *harness) {
		h.reply("s0", "s1")
		h.timerAt(40 * ms)
		h.step(Failed{Attempt: h.last("s2").Attempt, Reason: errs.ReasonCancelled, NotRun: true})
		h.step(replyTo(h.sends[2]))
	}, want: full, sends: and(three, KindHedge)},
	{name: "only leaf is slow and fails", budget: 9, plan: onlyFirst, script: func(h *harness) {
		h.reply("s0", "s1")
		h.timerAt(40 * ms)
		h.step(Failed{Attempt: 3, Reason: errs.ReasonShed, NotRun: true})
		h.step(Failed{Attempt: 4, Reason: errs.ReasonCancelled, NotRun: true})
	}, want: partial(30, miss("s2", errs.ReasonShed)), sends: and(three, KindHedge)},
	{name: "only leaf is cold and slow", budget: 9, plan: func(p *Plan) {
		onlyFirst(p)
		for i := range p.Shards {
			p.Shards[i].Candidates[0].Warm = false
		}
	}, script: func(h *harness) {
		h.timerAt(20 * ms)
		h.timerAt(60 * ms)
		h.reply("s0", "s1", "s2")
	}, want: full},
	{name: "other warm leaf goes before the same leaf", budget: 9, script: func(h *harness) {
		h.reply("s0", "s1")
		h.timerAt(h.wake)
		assert.Assert(h.t, h.last("s2").Leaf != h.sends[2].Leaf)
		assert.Equal(h.t, h.last("s2").RepeatOf, uint64(0))
		h.reply("s2")
	}, want: full, sends: and(three, KindHedge)},
	{name: "budget denied", script: func(h *harness) {
		h.timerAt(20 * ms)
		h.fail("s1", errs.ReasonShed)
		assert.Equal(h.t, h.m.Counters().Denied, uint64(4))
		h.reply("s0", "s2")
	}, want: partial(40, miss("s1", errs.ReasonShed))},
}
