package query

import (
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// snapshotFaults covers changes of the snapshot during a query.
var snapshotFaults = []fault{
	{name: "version changes between first and last send", canary: true, script: func(h *harness) {
		h.reply("s0")
		h.retire("s2")
		assert.DeepEqual(h.t, h.replans, []topology.Snapshot{pinned})
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		assert.Equal(h.t, len(h.merged), 0)
		h.reply("s0", "s1", "s2")
	}, want: fullOnNewer, sends: appendKinds([]Kind{KindCanary, KindFirst, KindFirst}, threeFirst...)},
	{name: "leaf switches to a newer snapshot while it answers", script: func(h *harness) {
		r := replyTo(h.lastSend("s1"))
		r.Snapshot = newer
		h.step(r)
		assert.Equal(h.t, h.machine.Counters().WrongSnapshot, uint64(1))
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s1", "s2")
	}, want: fullOnNewer, sends: sixFirst},
	{name: "replicas on different versions", budget: 1, script: func(h *harness) {
		r := replyTo(h.lastSend("s1"))
		r.Snapshot = older
		h.step(r)
		h.reply("s0", "s1", "s2")
	}, want: full, sends: appendKinds(threeFirst, KindRetry)},
	{name: "repartition during the query", script: func(h *harness) {
		old := h.lastSend("s0")
		h.retire("s1")
		next := topology.Snapshot{IndexVersion: 7, PartitionGeneration: 4}
		h.step(Replanned{Plan: testPlan(next, 4, 1), OK: true})
		h.step(replyTo(old))
		assert.Equal(h.t, h.machine.Counters().ClosedAttempt, uint64(1))
		h.reply("s0", "s1", "s2", "s3")
	}, want: Answer{Snapshot: topology.Snapshot{IndexVersion: 7, PartitionGeneration: 4}, CoveredWeight: 100, TotalWeight: 100},
		sends: appendKinds(sixFirst, KindFirst)},
	{name: "retired without time left", script: func(h *harness) {
		h.now = 51 * ms
		h.retire("s1")
		h.reply("s0", "s2")
	}, want: partial(40, missingShard("s1", errs.ReasonVersionRetired))},
	{name: "retired without time left, replica still serves the version", budget: 1, script: func(h *harness) {
		h.now = 51 * ms
		h.retire("s1")
		h.reply("s0", "s1", "s2")
	}, want: full, sends: appendKinds(threeFirst, KindMove)},
	{name: "retired, coverage class has a quarter left", prefer: topology.PreferCoverage, script: func(h *harness) {
		h.now = 300 * ms
		h.retire("s1")
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s1", "s2")
	}, want: fullOnNewer, sends: sixFirst},
	{name: "retired, coverage class has less than a quarter left", prefer: topology.PreferCoverage, script: func(h *harness) {
		h.now = 301 * ms
		h.retire("s1")
		h.reply("s0", "s2")
	}, want: partial(40, missingShard("s1", errs.ReasonVersionRetired))},
	{name: "retired, no newer snapshot", script: func(h *harness) {
		h.reply("s0")
		h.retire("s1")
		h.step(Replanned{})
		h.reply("s2")
	}, want: partial(40, missingShard("s1", errs.ReasonVersionRetired))},
	{name: "retired, new plan is not newer", script: func(h *harness) {
		h.retire("s1")
		h.step(Replanned{Plan: testPlan(pinned, 3, 2), OK: true})
		h.reply("s0", "s2")
	}, want: partial(40, missingShard("s1", errs.ReasonVersionRetired))},
	{name: "retired again after the last restart", script: func(h *harness) {
		h.retire("s1")
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s2")
		h.retire("s1")
	}, want: Answer{Snapshot: newer, CoveredWeight: 40, TotalWeight: 60, Missing: []Missing{missingShard("s1", errs.ReasonVersionRetired)}}, sends: sixFirst},
	{name: "retired, plan never arrives", script: func(h *harness) {
		h.retire("s1")
		h.reply("s0", "s2")
		h.fireTimerAt(100 * ms)
	}, want: partial(40, missingShard("s1", errs.ReasonVersionRetired))},
	{name: "retired, new plan arrives too late", script: func(h *harness) {
		h.retire("s1")
		h.now = 51 * ms
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s0", "s2")
	}, want: partial(40, missingShard("s1", errs.ReasonVersionRetired))},
	{name: "retired hedge, first attempt replies before the new plan", budget: 1, script: func(h *harness) {
		first := h.lastSend("s1")
		h.reply("s0")
		h.fireTimerAt(20 * ms)
		h.retire("s1")
		h.step(replyTo(first))
		h.step(Replanned{Plan: testPlan(newer, 3, 2), OK: true})
		h.reply("s2")
	}, want: full, sends: appendKinds(threeFirst, KindHedge)},
}
