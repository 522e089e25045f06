package query

import (
	"fmt"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const ms = time.Millisecond

var (
	pinned = topology.Snapshot{IndexVersion: 7, PartitionGeneration: 3}
	newer  = topology.Snapshot{IndexVersion: 8, PartitionGeneration: 3}
	older  = topology.Snapshot{IndexVersion: 6, PartitionGeneration: 3}
)

// fixedBudget is a Budget that allows a fixed number of sends.
type fixedBudget struct{ left int }

func (b *fixedBudget) TrySpend(topology.ShardID, Kind) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// testPlan returns a plan with warm replicas. Shard i has weight 10(i+1), and the
// hedge delay is 20 ms.
func testPlan(snapshot topology.Snapshot, shards, replicas int) Plan {
	plan := Plan{Snapshot: snapshot}
	for i := range shards {
		s := ShardPlan{Shard: topology.ShardID(fmt.Sprintf("s%d", i)), Weight: uint64(10 * (i + 1))}
		for r := range replicas {
			leaf := topology.LeafID(fmt.Sprintf("s%d-%c", i, 'a'+r))
			s.Candidates = append(s.Candidates, Candidate{Leaf: leaf, Warm: true, HedgeAfter: 20 * ms})
		}
		plan.Shards = append(plan.Shards, s)
	}
	return plan
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	assert.TestingT
	Helper()
	Fatalf(format string, args ...any)
}

// harness drives one query and records its actions.
type harness struct {
	t       testingT
	machine *Machine
	now     time.Duration
	budget  *fixedBudget
	sends   []Send
	merged  []uint64
	aborted []uint64
	replans []topology.Snapshot
	wake    time.Duration
	answer  *Answer
	// observe is called with each action before the harness records it.
	observe func(Action)
}

func (h *harness) start() { h.apply(h.machine.Start(h.now)) }

func (h *harness) step(ev Event) { h.apply(h.machine.Step(h.now, ev, h.budget)) }

func (h *harness) apply(actions []Action) {
	for _, action := range actions {
		if _, abort := action.(Abort); h.answer != nil && !abort {
			h.t.Fatalf("%T after Finish", action)
		}
		if h.observe != nil {
			h.observe(action)
		}
		switch a := action.(type) {
		case Send:
			h.sends = append(h.sends, a)
		case Merge:
			h.merged = append(h.merged, a.Attempt)
		case Abort:
			h.aborted = append(h.aborted, a.Attempt)
		case Discard:
			h.merged = nil
		case Replan:
			h.replans = append(h.replans, a.NewerThan)
		case WakeAt:
			h.wake = a.At
		case Finish:
			h.answer = &a.Answer
		}
	}
}

// lastSend returns the most recent send of a shard.
func (h *harness) lastSend(shard topology.ShardID) Send {
	for i := len(h.sends) - 1; i >= 0; i-- {
		if h.sends[i].Shard == shard {
			return h.sends[i]
		}
	}
	h.t.Fatalf("shard %s was not sent", shard)
	return Send{}
}

func replyTo(s Send) Reply {
	return Reply{Attempt: s.Attempt, Leaf: s.Leaf, Shard: s.Shard, Snapshot: s.Snapshot, Hits: 1}
}

func (h *harness) reply(shards ...topology.ShardID) {
	for _, shard := range shards {
		h.step(replyTo(h.lastSend(shard)))
	}
}

func (h *harness) fail(shard topology.ShardID, reason errs.Reason) {
	h.step(Failed{Attempt: h.lastSend(shard).Attempt, Reason: reason})
}

func (h *harness) crash(shard topology.ShardID) {
	h.step(Failed{Attempt: h.lastSend(shard).Attempt, Crash: true})
}

func (h *harness) retire(shard topology.ShardID) { h.step(VersionRetired{h.lastSend(shard).Attempt}) }

func (h *harness) fireTimerAt(now time.Duration) {
	h.now = now
	h.step(Timer{})
}

func (h *harness) wantSends(kinds ...Kind) {
	h.t.Helper()
	got := []Kind{}
	for _, s := range h.sends {
		got = append(got, s.Kind)
	}
	assert.DeepEqual(h.t, got, kinds)
}

// wantAnswer checks the answer of a query that has finished.
func (h *harness) wantAnswer(want Answer) {
	h.t.Helper()
	assert.Assert(h.t, h.answer != nil, "no Finish")
	assert.DeepEqual(h.t, *h.answer, want)
}
