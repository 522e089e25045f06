package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func goodReplies(n int) []Event { return replies(n, 10*ms, 1) }
func slowReplies(n int) []Event { return replies(n, 100*ms, 1) }

func replies(n int, latency time.Duration, boot uint64) []Event {
	var out []Event
	for range n {
		out = append(out, Dispatched{}, Replied{Latency: latency, Boot: boot})
	}
	return out
}

func concat(parts ...[]Event) []Event {
	var out []Event
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func events(evs ...Event) []Event { return evs }

// Each row guards against the fault in its name. Events are 1 ms apart and the
// limit is read 1 s after the last one.
func TestTracker(t *testing.T) {
	warm := goodReplies(24)
	fails := events(ConnectFailed{}, ConnectFailed{}, ConnectFailed{})
	rows := []struct {
		fault    string
		evs      []Event
		state    State
		inFlight int
	}{
		{"unmeasured leaf gets full load", nil, Cold, 1},
		{"limit rises before 8 replies", goodReplies(15), Warming, 1},
		{"limit does not rise after 8 replies per step", goodReplies(16), Warming, 2},
		{"leaf is warm before the ramp is complete", goodReplies(23), Warming, 2},
		{"leaf never becomes warm", warm, Warm, 2},
		{"slow reply counts towards a step up", concat(goodReplies(15), slowReplies(1), goodReplies(7)), Warming, 1},
		{"two slow replies make a warm leaf cold", concat(warm, slowReplies(2), goodReplies(1), slowReplies(2)), Warm, 2},
		{"three slow replies do not make a warm leaf cold", concat(warm, slowReplies(3)), Cold, 1},
		{"slow start sets the bound permanently", concat(slowReplies(8), goodReplies(16)), Warm, 2},
		{"timeouts leave the leaf warm", concat(warm, events(Dispatched{}, TimedOut{}, Dispatched{}, TimedOut{}, Dispatched{}, TimedOut{})), Cold, 1},
		{"new boot in a reply is not detected", concat(warm, replies(1, 10*ms, 2)), Cold, 1},
		{"new boot in a report is not detected", concat(warm, events(Report{Boot: 2})), Cold, 1},
		{"stale report of an earlier boot makes it cold", concat(goodReplies(1), replies(25, 10*ms, 2), events(Report{Boot: 1, Leaving: true})), Warm, 2},
		{"connection reset is not detected", concat(warm, events(Dispatched{}, ConnectionReset{})), Cold, 1},
		{"requests from before the demotion warm the leaf up", concat(warm, events(Dispatched{}, Dispatched{}, ConnectionReset{}, Replied{Latency: ms, Boot: 1})), Cold, 1},
		{"reports make the leaf warm", events(Report{Boot: 1}, Report{Boot: 1}, Report{Boot: 1}), Cold, 1},
		{"shedding while warming is ignored", concat(goodReplies(16), events(Dispatched{}, Refused{})), Warming, 1},
		{"two failed connection attempts mark the leaf down", fails[:2], Cold, 1},
		{"reply does not reset the count of failed connection attempts", concat(fails[:2], goodReplies(1), fails[:2]), Warming, 1},
		{"leaf that is down gets requests", concat(warm, fails), Down, 0},
		{"failed probe ends the down state", concat(fails, events(Probed{})), Down, 0},
		{"probe makes the leaf warm", concat(warm, fails, events(Probed{OK: true, Boot: 1})), Cold, 1},
		{"closed connection is ignored", concat(warm, events(ConnectionClosed{ClosedCount: 1})), Warm, 0},
		{"probe of the same boot makes the leaf cold", concat(warm, events(ConnectionClosed{ClosedCount: 1}, Probed{OK: true, Boot: 1, ClosedCount: 1})), Warm, 2},
		{"probe from before the close counts", concat(warm, events(ConnectionClosed{ClosedCount: 2}, Probed{OK: true, Boot: 1, ClosedCount: 1})), Warm, 0},
		{"restart after a closed connection is not detected", concat(warm, events(ConnectionClosed{ClosedCount: 1}, Probed{OK: true, Boot: 2, ClosedCount: 1})), Cold, 1},
		{"stopped leaf gets requests until three probes fail", concat(warm, events(ConnectionClosed{ClosedCount: 1}, ConnectFailed{}, Probed{})), Down, 0},
		{"probe answered by an earlier boot counts", concat(replies(1, 10*ms, 1), replies(24, 10*ms, 2), events(ConnectionClosed{ClosedCount: 1}, Probed{OK: true, Boot: 1, ClosedCount: 1})), Warming, 0},
		{"refusal as leaving is not detected", concat(warm, events(Dispatched{}, Refused{Leaving: true})), Leaving, 0},
		{"reply ends the leaving state", concat(warm, events(Dispatched{}, Report{Boot: 1, Leaving: true}, Replied{Boot: 2})), Leaving, 0},
		{"stale report ends the leaving state", concat(warm, events(Report{Boot: 1, Leaving: true}, Report{Boot: 1})), Leaving, 0},
		{"new boot does not end the leaving state", concat(warm, events(Report{Boot: 1, Leaving: true}, Report{Boot: 2})), Cold, 1},
		{"leaving state of an unknown boot never ends", concat(events(Report{Leaving: true}), events(Report{Boot: 2})), Cold, 1},
		{"second boot that is leaving ends the leaving state", concat(warm, events(Report{Boot: 1, Leaving: true}, Report{Boot: 2, Leaving: true}, Report{Boot: 2})), Leaving, 0},
		{"failed connection attempts end the leaving state", concat(events(Report{Boot: 1, Leaving: true}), fails), Leaving, 0},
		{"high load is ignored", concat(warm, events(Report{Boot: 1, Load: 0.9})), Warm, 1},
		{"full load takes the leaf out of service", concat(warm, events(Report{Boot: 1, Load: 5})), Warm, 1},
		{"low load raises the limit", concat(goodReplies(8), events(Report{Boot: 1, Load: 0})), Warming, 1},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			tr, now := New(Config{Slots: 2}), time.Duration(0)
			for _, ev := range row.evs {
				now += ms
				before := tr.State()
				for _, c := range tr.Step(now, ev) {
					assert.Assert(t, c.From == before && c.To == tr.State() && c.Reason == tr.Reason())
				}
			}
			assert.Equal(t, tr.State(), row.state)
			assert.Equal(t, tr.Limit(now+time.Second).InFlight, row.inFlight)
			assert.Equal(t, tr.NeedsLease(), row.state == Cold || row.state == Warming)
		})
	}
}

// Guards against back-to-back requests at half duty, and against an idle pause
// above that level.
func TestIdlePause(t *testing.T) {
	tr := New(Config{Slots: 2})
	for range 7 {
		tr.Step(0, Dispatched{})
		tr.Step(50*ms, Replied{Latency: 50 * ms, Boot: 1})
		assert.Equal(t, tr.Limit(50*ms), Limit{InFlight: 1, NotBefore: 100 * ms})
	}
	tr.Step(200*ms, Dispatched{})
	tr.Step(250*ms, Replied{Latency: 50 * ms, Boot: 1})
	assert.Assert(t, tr.Limit(250*ms).NotBefore <= 250*ms)
	tr.Step(300*ms, Refused{})
	assert.Equal(t, tr.Limit(300*ms).NotBefore, 350*ms)
}

// Guards against an outdated load value that lowers the limit forever.
func TestReportExpires(t *testing.T) {
	tr := New(Config{Slots: 4})
	for _, ev := range goodReplies(40) {
		tr.Step(0, ev)
	}
	tr.Step(0, Report{Boot: 1, Load: 1})
	assert.Equal(t, tr.Limit(reportTTL-1).InFlight, 1)
	assert.Equal(t, tr.Limit(reportTTL).InFlight, 4)
}

// Guards against more than one probe per second and against no probe at all.
func TestProbeDue(t *testing.T) {
	tr := New(Config{Slots: 1})
	for range 3 {
		tr.Step(0, ConnectFailed{})
	}
	assert.Assert(t, !tr.ProbeDue(probeInterval-1) && tr.ProbeDue(probeInterval))
	tr.Step(1200*ms, Probed{})
	assert.Assert(t, !tr.ProbeDue(2100*ms) && tr.ProbeDue(2200*ms))
	tr.Step(2200*ms, Probed{OK: true, Boot: 1})
	assert.Assert(t, !tr.ProbeDue(time.Hour))
}
