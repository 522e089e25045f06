package warmup

import "time"

func (t *Tracker) replied(now time.Duration, ev Replied) {
	counts := t.ended()
	if t.state == Leaving {
		return
	}
	t.failed, t.silence.unanswered = 0, 0
	t.alive(now)
	switch {
	case t.boots.adopt(ev.Boot):
		t.cold("new boot ID")
	case t.state == Down:
		t.cold("replied while down")
	case counts:
		t.measure(ev.Latency)
	}
	if t.level == halfDuty && t.state != Warm {
		t.pauseUntil = now + ev.Latency
	}
}

// measure takes in the latency of a request that was sent after the last fall.
func (t *Tracker) measure(latency time.Duration) {
	slow := t.times.slow(latency)
	t.times.add(latency, slow)
	if t.state == Cold {
		t.set(Warming, "first reply")
	}
	if slow {
		t.countSlow()
		return
	}
	t.slow = 0
	t.good++
	t.unproven = max(t.unproven-1, 0)
	if t.state == Warming && t.good >= riseStreak {
		t.rise()
	}
}

func (t *Tracker) countSlow() {
	t.good = 0
	t.slow++
	if t.slow >= slowStreak {
		t.fallMeasured("replies too slow")
	}
}

func (t *Tracker) rise() {
	t.good = 0
	if t.level < t.cfg.Slots {
		t.level++
		return
	}
	t.set(Warm, "ramp complete")
	t.times.warm()
}

func (t *Tracker) timedOut(now time.Duration) {
	if !t.ended() {
		return
	}
	// A request that started shortly before its deadline shows no silence.
	if now > t.silence.since+t.times.longest() {
		t.silence.unanswered++
	}
	if t.state == Warming || t.state == Warm {
		t.countSlow()
	}
}

// refused handles load shedding by a pause of one average reply. While the leaf
// warms up, the limit also goes down one step, since the leaf could not bear it.
func (t *Tracker) refused(now time.Duration, ev Refused) {
	t.ended()
	t.alive(now)
	if ev.Leaving {
		t.leave("refused as leaving", t.boots.current)
		return
	}
	t.good, t.failed = 0, 0
	if t.state == Warming {
		t.level = max(t.level-1, halfDuty)
	}
	t.pauseUntil = max(t.pauseUntil, now+t.times.recent.value)
}
