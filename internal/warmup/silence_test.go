package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lost is n requests, one after the other, that get no reply.
func lost(n int) []Event {
	var out []Event
	for range n {
		out = append(out, Dispatched{}, TimedOut{})
	}
	return out
}

// Each row guards against the fault in its name. Events are 1 ms apart, a
// request that times out runs for 1 s, and the leaf is judged at the given time
// after the last event.
func TestSilence(t *testing.T) {
	warm := ok(24)
	rows := []struct {
		fault   string
		evs     []Event
		after   time.Duration
		silent  bool
		onTrial bool
	}{
		{"unmeasured leaf without work is silent", nil, time.Hour, false, false},
		{"leaf without work is silent", ok(1), time.Hour, false, false},
		{"first request of a cold leaf is given no time", one(Dispatched{}), unmeasuredWait, false, false},
		{"cold leaf that never replies is not noticed while it runs", one(Dispatched{}), unmeasuredWait + 1, true, false},
		{"request of a warming leaf is given no time", seq(ok(1), one(Dispatched{})), 40 * ms, false, false},
		{"warming leaf that stops replying is not noticed while it runs", seq(ok(1), one(Dispatched{})), 41 * ms, true, false},
		{"warm leaf with one long request is avoided", seq(warm, one(Dispatched{})), time.Second, false, false},
		{"reply to another request is no sign of life", seq(ok(16), one(Dispatched{}, Dispatched{}, Replied{Latency: 10 * ms, Boot: 1})), 40 * ms, false, false},
		{"second request hides a leaf that stopped replying", seq(ok(16), one(Dispatched{}, Dispatched{})), 40 * ms, true, false},
		{"lost request of a cold leaf is forgotten", lost(1), 0, true, true},
		{"lost request of a warming leaf is forgotten", seq(ok(1), lost(1)), time.Hour, true, true},
		{"one lost request takes a warm leaf out", seq(warm, lost(1)), 0, false, false},
		{"fall of a warm leaf that stopped replying hides the cause", seq(warm, lost(slowStreak)), 0, true, true},
		{"fall by slow replies is taken for silence", seq(warm, slow(slowStreak)), 0, false, false},
		{"long cancelled requests are forgotten", seq(warm, one(
			Dispatched{}, Cancelled{RunTime: time.Second}, Dispatched{}, Cancelled{RunTime: time.Second}, Dispatched{}, Cancelled{RunTime: time.Second})), 0, true, true},
		{"short cancelled request is taken for silence", seq(ok(1), one(Dispatched{}, Cancelled{RunTime: 15 * ms})), 0, false, false},
		{"reply does not end the trial", seq(lost(5), ok(1)), 0, false, false},
		{"new boot does not end the trial", seq(ok(1), lost(5), one(Report{Boot: 2})), 0, false, false},
		{"request of an earlier boot makes the new one silent", seq(ok(1), one(Dispatched{}, Report{Boot: 2})), time.Hour, false, false},
		{"request of an earlier boot shortens the time of the new one", seq(ok(1), one(Dispatched{}, Report{Boot: 2}), one(Dispatched{})), unmeasuredWait, false, false},
		{"report of the same boot ends the trial", seq(ok(1), lost(1), one(Report{Boot: 1})), 0, true, true},
		{"refusal ends the trial", seq(lost(1), one(Dispatched{}, Refused{})), 0, true, true},
		{"warm state of another relay ends the trial", seq(one(Report{Boot: 1}), lost(1), one(WarmElsewhere{Boot: 1, Baseline: ms})), 0, true, true},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			tr, now := New(Config{Slots: 2}), time.Duration(0)
			for _, ev := range row.evs {
				now += ms
				if _, ended := ev.(TimedOut); ended {
					now += time.Second
				}
				tr.Step(now, ev)
			}
			now += row.after
			assert.Equal(t, tr.Unresponsive(now), row.silent)
			assert.Equal(t, tr.OnProbation(), row.onTrial)
		})
	}
}

// Guards against a worker that sleeps while a leaf falls silent, or that wakes
// for it again and again.
func TestSilentFrom(t *testing.T) {
	tr := New(Config{Slots: 2})
	_, ok := tr.UnresponsiveFrom()
	assert.Assert(t, !ok)
	tr.Step(5*ms, Dispatched{})
	at, ok := tr.UnresponsiveFrom()
	assert.Assert(t, ok && at > 5*ms)
	assert.Assert(t, !tr.Unresponsive(at-1) && tr.Unresponsive(at))
	tr.Step(at, Replied{Latency: at, Boot: 1})
	_, ok = tr.UnresponsiveFrom()
	assert.Assert(t, !ok)
}

// Guards against a leaf on trial for a request that it got shortly before the
// deadline.
func TestLateRequestShowsNoSilence(t *testing.T) {
	tr := New(Config{Slots: 2})
	tr.Step(0, Dispatched{})
	tr.Step(5*ms, TimedOut{})
	assert.Assert(t, !tr.OnProbation())
}
