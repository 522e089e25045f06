package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a takeover that treats a warm leaf as cold, and against one
// that believes in the warmth of another boot or over its own measurements.
func TestInherited(t *testing.T) {
	const ms = time.Millisecond
	inherited := WarmElsewhere{Boot: 7, Baseline: 10 * ms}
	for name, tc := range map[string]struct {
		before []Event
		want   State
	}{
		"same boot by own report":      {[]Event{Report{Boot: 7}}, Warm},
		"no report of its own yet":     {nil, Cold},
		"another boot":                 {[]Event{Report{Boot: 8}}, Cold},
		"restarted since":              {[]Event{Report{Boot: 7}, Report{Boot: 8}}, Cold},
		"new boot that another ramped": {[]Event{Report{Boot: 6}, Report{Boot: 7}}, Warm},
		"leaving":                      {[]Event{Report{Boot: 7, Leaving: true}}, Leaving},
		"own request in flight":        {[]Event{Report{Boot: 7}, Dispatched{}}, Cold},
		"measuring itself":             {[]Event{Report{Boot: 7}, Dispatched{}, Replied{Latency: ms, Boot: 7}}, Warming},
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

// Guards against an inherited warmth that slow replies do not end.
func TestInheritedFallsOnSlowReplies(t *testing.T) {
	tr := New(Config{Slots: 2})
	tr.Step(0, Report{Boot: 7})
	tr.Step(0, WarmElsewhere{Boot: 7, Baseline: 10 * time.Millisecond})
	for range slowStreak {
		tr.Step(0, Dispatched{})
		tr.Step(0, Replied{Latency: 50 * time.Millisecond, Boot: 7})
	}
	assert.Equal(t, tr.State(), Cold)
	assert.Assert(t, tr.NeedsLease())
}

// Guards against two relays that keep a cold leaf warm for each other: the one
// that saw it fall must not inherit from the idle one, and the idle one must
// not hand on what it inherited.
func TestFallIsNotUndoneByAnIdleRelay(t *testing.T) {
	serving, idle := New(Config{Slots: 2}), New(Config{Slots: 2})
	for _, tr := range []*Tracker{serving, idle} {
		tr.Step(0, Report{Boot: 7})
		tr.Step(0, WarmElsewhere{Boot: 7, Baseline: 10 * time.Millisecond})
	}
	baseline, _ := idle.MeasuredBaseline()
	assert.Equal(t, baseline, time.Duration(0))
	for range slowStreak {
		serving.Step(0, Dispatched{})
		serving.Step(0, Replied{Latency: 50 * time.Millisecond, Boot: 7})
	}
	serving.Step(0, WarmElsewhere{Boot: 7, Baseline: 10 * time.Millisecond})
	assert.Equal(t, serving.State(), Cold)
	idle.Step(0, ColdElsewhere{Boot: serving.DemotedBoot()})
	assert.Equal(t, idle.State(), Cold)
}

// Guards against a warm leaf with a low baseline that falls to cold because
// the VM schedules the relay late for some milliseconds.
func TestSchedulingDelayIsNotSlow(t *testing.T) {
	tr := New(Config{Slots: 2})
	tr.Step(0, Report{Boot: 7})
	tr.Step(0, WarmElsewhere{Boot: 7, Baseline: time.Millisecond})
	for range slowStreak {
		tr.Step(0, Dispatched{})
		tr.Step(0, Replied{Latency: 9 * time.Millisecond, Boot: 7})
	}
	assert.Equal(t, tr.State(), Warm)
}
