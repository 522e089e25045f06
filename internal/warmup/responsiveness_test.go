package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unansweredRequests returns the events of n consecutive requests that get no
// reply.
func unansweredRequests(n int) []Event {
	var out []Event
	for range n {
		out = append(out, Dispatched{}, TimedOut{})
	}
	return out
}

// Each row guards against the fault in its name. Events are 1 ms apart, a
// request that times out runs for 1 s, and the leaf is checked at the given
// time after the last event.
func TestUnresponsive(t *testing.T) {
	warm := goodReplies(24)
	rows := []struct {
		fault        string
		evs          []Event
		after        time.Duration
		unresponsive bool
		onProbation  bool
	}{
		{"unmeasured leaf without requests is unresponsive", nil, time.Hour, false, false},
		{"leaf without requests is unresponsive", goodReplies(1), time.Hour, false, false},
		{"first request of a cold leaf gets no time to complete", events(Dispatched{}), unmeasuredReplyTimeout, false, false},
		{"cold leaf that never replies is not detected while its request runs", events(Dispatched{}), unmeasuredReplyTimeout + 1, true, false},
		{"request of a warming leaf gets no time to complete", concat(goodReplies(1), events(Dispatched{})), 40 * ms, false, false},
		{"warming leaf that stops replying is not detected while its request runs", concat(goodReplies(1), events(Dispatched{})), 41 * ms, true, false},
		{"warm leaf with one long request is avoided", concat(warm, events(Dispatched{})), time.Second, false, false},
		{"reply to another request does not extend the time", concat(goodReplies(16), events(Dispatched{}, Dispatched{}, Replied{Latency: 10 * ms, Boot: 1})), 40 * ms, false, false},
		{"second request hides a leaf that stopped replying", concat(goodReplies(16), events(Dispatched{}, Dispatched{})), 40 * ms, true, false},
		{"unanswered request of a cold leaf is not counted", unansweredRequests(1), 0, true, true},
		{"unanswered request of a warming leaf is not counted", concat(goodReplies(1), unansweredRequests(1)), time.Hour, true, true},
		{"one unanswered request makes a warm leaf unresponsive", concat(warm, unansweredRequests(1)), 0, false, false},
		{"demotion of a warm leaf that stopped replying resets the count of unanswered requests", concat(warm, unansweredRequests(slowRepliesToCold)), 0, true, true},
		{"demotion for slow replies makes the leaf unresponsive", concat(warm, slowReplies(slowRepliesToCold)), 0, false, false},
		{"long cancelled requests are not counted", concat(warm, events(
			Dispatched{}, Cancelled{RunTime: time.Second}, Dispatched{}, Cancelled{RunTime: time.Second}, Dispatched{}, Cancelled{RunTime: time.Second})), 0, true, true},
		{"short cancelled request makes the leaf unresponsive", concat(goodReplies(1), events(Dispatched{}, Cancelled{RunTime: 15 * ms})), 0, false, false},
		{"reply does not end the probation", concat(unansweredRequests(5), goodReplies(1)), 0, false, false},
		{"new boot does not end the probation", concat(goodReplies(1), unansweredRequests(5), events(Report{Boot: 2})), 0, false, false},
		{"request of an earlier boot makes the new one unresponsive", concat(goodReplies(1), events(Dispatched{}, Report{Boot: 2})), time.Hour, false, false},
		{"request of an earlier boot shortens the time of the new one", concat(goodReplies(1), events(Dispatched{}, Report{Boot: 2}), events(Dispatched{})), unmeasuredReplyTimeout, false, false},
		{"report of the same boot ends the probation", concat(goodReplies(1), unansweredRequests(1), events(Report{Boot: 1})), 0, true, true},
		{"refusal ends the probation", concat(unansweredRequests(1), events(Dispatched{}, Refused{})), 0, true, true},
		{"warm state of another relay ends the probation", concat(events(Report{Boot: 1}), unansweredRequests(1), events(PeerReportedWarm{Boot: 1, Baseline: ms})), 0, true, true},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			tr, now := New(Config{Slots: 2}), time.Duration(0)
			for _, ev := range row.evs {
				now += ms
				if _, timedOut := ev.(TimedOut); timedOut {
					now += time.Second
				}
				tr.Step(now, ev)
			}
			now += row.after
			assert.Equal(t, tr.Unresponsive(now), row.unresponsive)
			assert.Equal(t, tr.OnProbation(), row.onProbation)
		})
	}
}

// Guards against a worker that sleeps while a leaf becomes unresponsive, or
// that wakes up repeatedly for it.
func TestUnresponsiveFrom(t *testing.T) {
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

// Guards against a leaf that is put on probation because of a request that was
// dispatched shortly before its deadline.
func TestTimeoutShortlyAfterDispatchIsNotUnresponsive(t *testing.T) {
	tr := New(Config{Slots: 2})
	tr.Step(0, Dispatched{})
	tr.Step(5*ms, TimedOut{})
	assert.Assert(t, !tr.OnProbation())
}
