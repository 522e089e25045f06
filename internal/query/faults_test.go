package query

import (
	"slices"
	"testing"

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

func and(kinds []Kind, more ...Kind) []Kind { return slices.Concat(kinds, more) }

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
	for _, f := range slices.Concat(snapshotFaults, replicaFaults, crashFaults) {
		t.Run(f.name, f.run)
	}
}
