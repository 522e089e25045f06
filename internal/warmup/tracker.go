package warmup

import "time"

const (
	// riseStreak is the number of good replies in a row for one step up.
	riseStreak = 8
	// slowStreak is the number of slow replies in a row for a fall to cold.
	slowStreak = 3
	// downStreak is the number of failed connection attempts in a row after
	// which the leaf is down.
	downStreak = 3
	// probeInterval is the time between probes of a leaf that is down.
	probeInterval = time.Second
	// halfDuty is the level of one request in flight with an idle pause after
	// it; level n above it is n requests in flight.
	halfDuty = 0
)

// Tracker follows one leaf. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	state   State
	reason  string
	level   int
	boots   boots
	times   latencies
	cap     loadCap
	silence silence

	inFlight int
	// ignore is the number of requests in flight that were sent before the
	// last fall; their replies say nothing of the leaf as it is now.
	ignore      int
	good        int
	slow        int
	failed      int
	pauseUntil  time.Duration
	nextProbe   time.Duration
	closing     closing
	leavingBoot uint64
	// fellBoot is the leaf's boot ID at the last fall without a new boot.
	fellBoot uint64
	// unproven is the number of good replies until an inherited warm state
	// counts as this relay's own.
	unproven int
}

// New returns a tracker of a cold leaf. Slots below 1 count as 1.
func New(cfg Config) *Tracker {
	cfg.Slots = max(cfg.Slots, 1)
	return &Tracker{cfg: cfg, state: Cold, reason: "no measurements", times: newLatencies()}
}

// State returns the state of the leaf.
func (t *Tracker) State() State { return t.state }

// Reason returns the cause of the last fall or change of state.
func (t *Tracker) Reason() string { return t.reason }

// NeedsLease reports whether requests may be sent only under the cold lease,
// which holds until the leaf has passed the whole ramp and its own shedding is
// trusted. A leaf that is down or leaving gets no requests at all.
func (t *Tracker) NeedsLease() bool { return t.state == Cold || t.state == Warming }

// Limit returns what the leaf may get now. It changes with each event and,
// upwards, when a load report expires.
func (t *Tracker) Limit(now time.Duration) Limit {
	if t.closing.unchecked() {
		return Limit{}
	}
	switch t.state {
	case Down, Leaving:
		return Limit{}
	case Warm:
		return Limit{InFlight: t.cap.lower(now, t.cfg.Slots), NotBefore: t.pauseUntil}
	}
	return Limit{InFlight: t.cap.lower(now, max(t.level, 1)), NotBefore: t.pauseUntil}
}

// ProbeDue reports whether the shell has to probe the leaf. It stays true until
// the probe's result is passed to Step.
func (t *Tracker) ProbeDue(now time.Duration) bool {
	return (t.state == Down || t.closing.unchecked()) && now >= t.nextProbe
}

// Step applies an event and returns the changes of state.
func (t *Tracker) Step(now time.Duration, ev Event) []Transition {
	from := t.state
	switch ev := ev.(type) {
	case Dispatched:
		t.dispatched(now)
	case Replied:
		t.replied(now, ev)
	case Refused:
		t.refused(now, ev)
	case TimedOut:
		t.timedOut(now)
	case ConnectionReset:
		t.ended()
		t.fallMeasured("connection reset")
	case Cancelled:
		t.cancelled(ev)
	case ConnectFailed:
		t.connectFailed(now)
	case ConnectionClosed:
		t.connectionClosed(now, ev)
	case Probed:
		t.probed(now, ev)
	case Report:
		t.report(now, ev)
	case WarmElsewhere:
		t.inherited(ev)
	case ColdElsewhere:
		t.fellElsewhere(ev)
	}
	if t.state == from {
		return nil
	}
	return []Transition{{From: from, To: t.state, Reason: t.reason}}
}

func (t *Tracker) set(s State, reason string) { t.state, t.reason = s, reason }

// fall makes the leaf cold and drops its measurements. A leaf that is down or
// leaving stays so, since it gets no requests.
func (t *Tracker) fall(reason string) {
	if t.state != Down && t.state != Leaving {
		t.cold(reason)
	}
}

// fallMeasured is a fall by the leaf's behaviour while its boot stays the same.
// That boot is not inherited as warm again.
func (t *Tracker) fallMeasured(reason string) {
	unanswered := t.silence.unanswered
	t.fellBoot = t.boots.current
	t.fall(reason)
	t.silence.unanswered = unanswered
}

func (t *Tracker) cold(reason string) {
	t.unproven, t.silence.unanswered = 0, 0
	t.set(Cold, reason)
	t.level, t.good, t.slow, t.failed = halfDuty, 0, 0, 0
	t.times = newLatencies()
	t.ignore = t.inFlight
}

// ended takes one request out of flight and reports whether it was sent after
// the last fall. Requests sent earlier are assumed to end first.
func (t *Tracker) ended() bool {
	t.inFlight = max(t.inFlight-1, 0)
	if t.ignore > 0 {
		t.ignore--
		return false
	}
	return true
}
