package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func ok(n int) []Event   { return replies(n, 10*ms, 1) }
func slow(n int) []Event { return replies(n, 100*ms, 1) }

func replies(n int, latency time.Duration, boot uint64) []Event {
	var out []Event
	for range n {
		out = append(out, Dispatched{}, Replied{Latency: latency, Boot: boot})
	}
	return out
}

func seq(parts ...[]Event) []Event {
	var out []Event
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func one(evs ...Event) []Event { return evs }

// Each row guards against the fault in its name. Events are 1 ms apart and the
// limit is read 1 s after the last one, unless the row says otherwise.
func TestTracker(t *testing.T) {
	warm := ok(24)
	fails := one(ConnectFailed{}, ConnectFailed{}, ConnectFailed{})
	rows := []struct {
		fault    string
		evs      []Event
		state    State
		inFlight int
	}{
		{"unmeasured leaf gets full load", nil, Cold, 1},
		{"rises before 8 replies", ok(15), Warming, 1},
		{"does not rise after 8 replies per step", ok(16), Warming, 2},
		{"is warm before the whole ramp", ok(23), Warming, 2},
		{"never gets warm", warm, Warm, 2},
		{"slow reply counts for a rise", seq(ok(15), slow(1), ok(7)), Warming, 1},
		{"two slow replies make a warm leaf cold", seq(warm, slow(2), ok(1), slow(2)), Warm, 2},
		{"three slow replies do not", seq(warm, slow(3)), Cold, 1},
		{"slow start sets the bound for good", seq(slow(8), ok(16)), Warm, 2},
		{"time-outs leave the leaf warm", seq(warm, one(Dispatched{}, TimedOut{}, Dispatched{}, TimedOut{}, Dispatched{}, TimedOut{})), Cold, 1},
		{"new boot in a reply is missed", seq(warm, replies(1, 10*ms, 2)), Cold, 1},
		{"new boot in a report is missed", seq(warm, one(Report{Boot: 2})), Cold, 1},
		{"stale report of an earlier boot makes it cold", seq(ok(1), replies(25, 10*ms, 2), one(Report{Boot: 1, Leaving: true})), Warm, 2},
		{"reset is missed", seq(warm, one(Dispatched{}, ConnectionReset{})), Cold, 1},
		{"requests from before the fall warm it up", seq(warm, one(Dispatched{}, Dispatched{}, ConnectionReset{}, Replied{Latency: ms, Boot: 1})), Cold, 1},
		{"reports prove warmth", one(Report{Boot: 1}, Report{Boot: 1}, Report{Boot: 1}), Cold, 1},
		{"shedding while warming is ignored", seq(ok(16), one(Dispatched{}, Refused{})), Warming, 1},
		{"two failed connects make it down", fails[:2], Cold, 1},
		{"a reply between does not count", seq(fails[:2], ok(1), fails[:2]), Warming, 1},
		{"down leaf gets load", seq(warm, fails), Down, 0},
		{"failed probe brings it back", seq(fails, one(Probed{})), Down, 0},
		{"probe makes it warm", seq(warm, fails, one(Probed{OK: true, Boot: 1})), Cold, 1},
		{"closed connection is ignored", seq(warm, one(ConnectionClosed{ClosedCount: 1})), Warm, 0},
		{"probe of the same boot makes it cold", seq(warm, one(ConnectionClosed{ClosedCount: 1}, Probed{OK: true, Boot: 1, ClosedCount: 1})), Warm, 2},
		{"probe from before the end counts", seq(warm, one(ConnectionClosed{ClosedCount: 2}, Probed{OK: true, Boot: 1, ClosedCount: 1})), Warm, 0},
		{"restart after a closed connection is missed", seq(warm, one(ConnectionClosed{ClosedCount: 1}, Probed{OK: true, Boot: 2, ClosedCount: 1})), Cold, 1},
		{"stopped leaf gets load until three probes fail", seq(warm, one(ConnectionClosed{ClosedCount: 1}, ConnectFailed{}, Probed{})), Down, 0},
		{"earlier boot's answer ends the check", seq(replies(1, 10*ms, 1), replies(24, 10*ms, 2), one(ConnectionClosed{ClosedCount: 1}, Probed{OK: true, Boot: 1, ClosedCount: 1})), Warming, 0},
		{"leaving by refusal is missed", seq(warm, one(Dispatched{}, Refused{Leaving: true})), Leaving, 0},
		{"reply ends leaving", seq(warm, one(Dispatched{}, Report{Boot: 1, Leaving: true}, Replied{Boot: 2})), Leaving, 0},
		{"stale report ends leaving", seq(warm, one(Report{Boot: 1, Leaving: true}, Report{Boot: 1})), Leaving, 0},
		{"new boot does not end leaving", seq(warm, one(Report{Boot: 1, Leaving: true}, Report{Boot: 2})), Cold, 1},
		{"leaving learned elsewhere is stuck", seq(one(Report{Leaving: true}), one(Report{Boot: 2})), Cold, 1},
		{"new leaving boot is taken for the return", seq(warm, one(Report{Boot: 1, Leaving: true}, Report{Boot: 2, Leaving: true}, Report{Boot: 2})), Leaving, 0},
		{"failed connects end leaving", seq(one(Report{Boot: 1, Leaving: true}), fails), Leaving, 0},
		{"high load is ignored", seq(warm, one(Report{Boot: 1, Load: 0.9})), Warm, 1},
		{"full load takes it out of service", seq(warm, one(Report{Boot: 1, Load: 5})), Warm, 1},
		{"low load raises the limit", seq(ok(8), one(Report{Boot: 1, Load: 0})), Warming, 1},
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

// Guards against back-to-back requests at half duty and against a pause above it.
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

// Guards against a stale load value that holds the limit down forever.
func TestReportExpires(t *testing.T) {
	tr := New(Config{Slots: 4})
	for _, ev := range ok(40) {
		tr.Step(0, ev)
	}
	tr.Step(0, Report{Boot: 1, Load: 1})
	assert.Equal(t, tr.Limit(reportTTL-1).InFlight, 1)
	assert.Equal(t, tr.Limit(reportTTL).InFlight, 4)
}

// Guards against probes more often than once per second and against none.
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
