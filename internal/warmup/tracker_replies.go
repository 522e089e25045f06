package warmup

import "time"

func (t *Tracker) replied(now time.Duration, ev Replied) {
	afterDemotion := t.requestCompleted()
	if t.state == Leaving {
		return
	}
	t.failedConnects, t.responsiveness.unanswered = 0, 0
	t.responded(now)
	switch {
	case t.boots.adopt(ev.Boot):
		t.resetCold("new boot ID")
	case t.state == Down:
		t.resetCold("replied while down")
	case afterDemotion:
		t.measure(ev.Latency)
	}
	if t.level == halfDutyLevel && t.state != Warm {
		t.pauseUntil = now + ev.Latency
	}
}

// measure records the latency of a request that was sent after the last
// demotion.
func (t *Tracker) measure(latency time.Duration) {
	slow := t.latencies.slow(latency)
	t.latencies.add(latency, slow)
	if t.state == Cold {
		t.setState(Warming, "first reply")
	}
	if slow {
		t.countSlow()
		return
	}
	t.slowReplies = 0
	t.goodReplies++
	t.repliesToConfirm = max(t.repliesToConfirm-1, 0)
	if t.state == Warming && t.goodReplies >= goodRepliesPerStep {
		t.stepUp()
	}
}

func (t *Tracker) countSlow() {
	t.goodReplies = 0
	t.slowReplies++
	if t.slowReplies >= slowRepliesToCold {
		t.demoteBoot("replies too slow")
	}
}

func (t *Tracker) stepUp() {
	t.goodReplies = 0
	if t.level < t.cfg.Slots {
		t.level++
		return
	}
	t.setState(Warm, "ramp complete")
	t.latencies.initBaseline()
}

func (t *Tracker) timedOut(now time.Duration) {
	if !t.requestCompleted() {
		return
	}
	// A request that was sent shortly before its deadline may time out on a
	// responsive leaf.
	if now > t.responsiveness.waitingSince+t.latencies.slowBound() {
		t.responsiveness.unanswered++
	}
	if t.state == Warming || t.state == Warm {
		t.countSlow()
	}
}

// refused handles load shedding with a pause of one average reply latency.
// While the leaf is warming, the limit also goes down one step, since the leaf
// could not handle the current one.
func (t *Tracker) refused(now time.Duration, ev Refused) {
	t.requestCompleted()
	t.responded(now)
	if ev.Leaving {
		t.markLeaving("refused as leaving", t.boots.current)
		return
	}
	t.goodReplies, t.failedConnects = 0, 0
	if t.state == Warming {
		t.level = max(t.level-1, halfDutyLevel)
	}
	t.pauseUntil = max(t.pauseUntil, now+t.latencies.recent.value)
}
