package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a takeover that treats a warm leaf as cold, and against
// inheriting a warm state that was measured for another boot or that would
// replace own measurements.
func TestInherited(t *testing.T) {
	const ms = time.Millisecond
	inherited := PeerReportedWarm{Boot: 7, Baseline: 10 * ms}
	for name, tc := range map[string]struct {
		before []Event
		want   State
	}{
		"same boot by own report":               {[]Event{Report{Boot: 7}}, Warm},
		"no report of its own yet":              {nil, Cold},
		"another boot":                          {[]Event{Report{Boot: 8}}, Cold},
		"restarted after the measurement":       {[]Event{Report{Boot: 7}, Report{Boot: 8}}, Cold},
		"new boot that another relay warmed up": {[]Event{Report{Boot: 6}, Report{Boot: 7}}, Warm},
		"leaving":                               {[]Event{Report{Boot: 7, Leaving: true}}, Leaving},
		"own request in flight":                 {[]Event{Report{Boot: 7}, Dispatched{}}, Cold},
		"own measurement exists":                {[]Event{Report{Boot: 7}, Dispatched{}, Replied{Latency: ms, Boot: 7}}, Warming},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(Config{Slots: 2})
			for _, ev := range append(tc.before, inherited) {
				tr.Step(0, ev)
			}
			assert.Equal(t, tr.State(), tc.want)
		})
	}
}

// Guards against a leaf with an inherited warm state that stays warm despite
// slow replies.
func TestInheritedLeafTurnsColdOnSlowReplies(t *testing.T) {
	tr := New(Config{Slots: 2})
	tr.Step(0, Report{Boot: 7})
	tr.Step(0, PeerReportedWarm{Boot: 7, Baseline: 10 * time.Millisecond})
	for range slowRepliesToCold {
		tr.Step(0, Dispatched{})
		tr.Step(0, Replied{Latency: 50 * time.Millisecond, Boot: 7})
	}
	assert.Equal(t, tr.State(), Cold)
	assert.Assert(t, tr.NeedsLease())
}

// Guards against two relays that keep a cold leaf warm for each other: the
// relay that demoted the leaf must not inherit the warm state from the idle
// one, and the idle one must not pass on a state that it inherited.
func TestFallIsNotUndoneByAnIdleRelay(t *testing.T) {
	serving, idle := New(Config{Slots: 2}), New(Config{Slots: 2})
	for _, tr := range []*Tracker{serving, idle} {
		tr.Step(0, Report{Boot: 7})
		tr.Step(0, PeerReportedWarm{Boot: 7, Baseline: 10 * time.Millisecond})
	}
	baseline, _ := idle.MeasuredBaseline()
	assert.Equal(t, baseline, time.Duration(0))
	for range slowRepliesToCold {
		serving.Step(0, Dispatched{})
		serving.Step(0, Replied{Latency: 50 * time.Millisecond, Boot: 7})
	}
	serving.Step(0, PeerReportedWarm{Boot: 7, Baseline: 10 * time.Millisecond})
	assert.Equal(t, serving.State(), Cold)
	idle.Step(0, PeerReportedCold{Boot: serving.DemotedBoot()})
	assert.Equal(t, idle.State(), Cold)
}

// Guards against a warm leaf with a low baseline that turns cold because the VM
// schedules the relay some milliseconds late.
func TestSchedulingDelayIsNotSlow(t *testing.T) {
	tr := New(Config{Slots: 2})
	tr.Step(0, Report{Boot: 7})
	tr.Step(0, PeerReportedWarm{Boot: 7, Baseline: time.Millisecond})
	for range slowRepliesToCold {
		tr.Step(0, Dispatched{})
		tr.Step(0, Replied{Latency: 9 * time.Millisecond, Boot: 7})
	}
	assert.Equal(t, tr.State(), Warm)
}
