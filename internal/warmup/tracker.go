package warmup

import "time"

const (
	// goodRepliesPerStep is the number of consecutive good replies for one step
	// up.
	goodRepliesPerStep = 8
	// slowRepliesToCold is the number of consecutive slow replies that demote
	// the leaf to cold.
	slowRepliesToCold = 3
	// failedConnectsToDown is the number of consecutive failed connection
	// attempts after which the leaf is down.
	failedConnectsToDown = 3
	// probeInterval is the time between probes of a leaf that is down.
	probeInterval = time.Second
	// halfDutyLevel allows one request in flight, followed by an idle pause as
	// long as its latency. Each higher level n allows n requests in flight.
	halfDutyLevel = 0
)

// Tracker tracks the state of one leaf. It is not safe for concurrent use.
type Tracker struct {
	cfg            Config
	state          State
	reason         string
	level          int
	boots          bootHistory
	latencies      latencies
	loadCap        loadCap
	responsiveness responsiveness

	inFlight int
	// staleInFlight is the number of requests in flight that were sent before
	// the last demotion. Their replies do not describe the current state of the
	// leaf.
	staleInFlight  int
	goodReplies    int
	slowReplies    int
	failedConnects int
	pauseUntil     time.Duration
	nextProbe      time.Duration
	closed         closedCounts
	leavingBoot    uint64
	// demotedBoot is the boot ID that the leaf had when it was last demoted for
	// a reason other than a new boot ID, or 0.
	demotedBoot uint64
	// repliesToConfirm is the number of good replies after which an inherited
	// warm state counts as this relay's own measurement.
	repliesToConfirm int
}

// New returns a tracker of a cold leaf. Slots below 1 count as 1.
func New(cfg Config) *Tracker {
	cfg.Slots = max(cfg.Slots, 1)
	return &Tracker{cfg: cfg, state: Cold, reason: "no measurements", latencies: newLatencies()}
}

// State returns the state of the leaf.
func (t *Tracker) State() State { return t.state }

// Reason returns the cause of the last demotion or change of state.
func (t *Tracker) Reason() string { return t.reason }

// NeedsLease reports whether requests may be sent only under the cold lease.
// The lease is required until the leaf has completed the ramp, after
// which its own load shedding is trusted. A leaf that is down or leaving gets
// no requests at all.
func (t *Tracker) NeedsLease() bool { return t.state == Cold || t.state == Warming }

// Limit returns the current limit of the leaf. It may change with each event,
// and rises when a load report expires.
func (t *Tracker) Limit(now time.Duration) Limit {
	if t.closed.unconfirmed() {
		return Limit{}
	}
	switch t.state {
	case Down, Leaving:
		return Limit{}
	case Warm:
		return Limit{InFlight: t.loadCap.apply(now, t.cfg.Slots), NotBefore: t.pauseUntil}
	}
	return Limit{InFlight: t.loadCap.apply(now, max(t.level, 1)), NotBefore: t.pauseUntil}
}

// ProbeDue reports whether the relay must probe the leaf now. It stays true
// until the result of the probe is passed to Step.
func (t *Tracker) ProbeDue(now time.Duration) bool {
	return (t.state == Down || t.closed.unconfirmed()) && now >= t.nextProbe
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
		t.requestCompleted()
		t.demoteBoot("connection reset")
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
	case PeerReportedWarm:
		t.peerReportedWarm(ev)
	case PeerReportedCold:
		t.peerReportedCold(ev)
	}
	if t.state == from {
		return nil
	}
	return []Transition{{From: from, To: t.state, Reason: t.reason}}
}

func (t *Tracker) setState(s State, reason string) { t.state, t.reason = s, reason }

// demote makes the leaf cold and discards its measurements. A leaf that is down
// or leaving keeps its state, since it gets no requests.
func (t *Tracker) demote(reason string) {
	if t.state != Down && t.state != Leaving {
		t.resetCold(reason)
	}
}

// demoteBoot demotes the leaf while its boot ID stays the same. The tracker
// does not inherit a warm state for that boot again.
func (t *Tracker) demoteBoot(reason string) {
	unanswered := t.responsiveness.unanswered
	t.demotedBoot = t.boots.current
	t.demote(reason)
	t.responsiveness.unanswered = unanswered
}

func (t *Tracker) resetCold(reason string) {
	t.repliesToConfirm, t.responsiveness.unanswered = 0, 0
	t.setState(Cold, reason)
	t.level, t.goodReplies, t.slowReplies, t.failedConnects = halfDutyLevel, 0, 0, 0
	t.latencies = newLatencies()
	t.staleInFlight = t.inFlight
}

// requestCompleted removes one request from those in flight and reports whether
// it was sent after the last demotion. Requests that were sent before it are
// assumed to complete first.
func (t *Tracker) requestCompleted() bool {
	t.inFlight = max(t.inFlight-1, 0)
	if t.staleInFlight > 0 {
		t.staleInFlight--
		return false
	}
	return true
}
