package outage

import (
	"slices"
	"time"
)

const (
	// GracePeriod is how long a leaf whose entry is missing after an outage stays in use.
	// The platform guarantees that running leaves are registered again within about two
	// seconds of the store's return.
	GracePeriod = 2200 * time.Millisecond
	// minFailing is the time between the first and the last failed call from which the
	// failures count as an outage. A watch that is cut and called again is none.
	minFailing = 500 * time.Millisecond
	// minSilence is the silence that counts as an outage after a single failed call. It
	// exceeds the wait of a watch plus the time for which a failed source is not called.
	minSilence = 2200 * time.Millisecond
	// maxAnswerGap is the silence that counts as an outage even if no call has failed.
	maxAnswerGap = CheckInterval + 700*time.Millisecond
	// minPeerGap is the silence that only an outage explains while other VMs are heard: the
	// answers to a VM that others read from are a second apart, and it states them twice a
	// second.
	minPeerGap = 1600 * time.Millisecond
	// minGap is the shortest silence that is remembered.
	minGap = 300 * time.Millisecond
	// stateLifetime is how long another VM's state counts. VMs exchange it twice a second.
	stateLifetime = 1200 * time.Millisecond
	// callsLifetime is how long a VM counts as one that calls the store after its last call.
	callsLifetime = 3 * time.Second
	// transferTime bounds the time that a statement takes from one VM to another, by which
	// the times that VMs derive for one event differ.
	transferTime = 300 * time.Millisecond
)

// CheckInterval is the longest time between two answers of the store to a VM that calls it,
// while it is reachable.
const CheckInterval = 2500 * time.Millisecond

// gap is a time in which the store is not known to have answered any VM.
type gap struct{ began, ended time.Duration }

// Detector detects outages of the store. It is not safe for concurrent use. Times are those
// of this VM's monotonic clock.
type Detector struct {
	// confirmedAt is the latest time at which the store is known to have answered any VM, if
	// confirmed is true.
	confirmedAt time.Duration
	confirmed   bool
	// gaps are the silences that have ended lately, the oldest first.
	gaps []gap
	// firstFailed and lastFailed are when this VM's calls failed since confirmedAt, if
	// failing is true.
	firstFailed, lastFailed time.Duration
	failing                 bool
	// calledAt is when a call of this VM to the store last ended, answeredAt when one was last
	// answered, if answered is true.
	calledAt, answeredAt time.Duration
	answered             bool
	// witnessedAt is when another VM last stated that its calls fail, refutedAt that they
	// are answered, awayAt that VMs see an outage; negative means never.
	witnessedAt, refutedAt, awayAt time.Duration
	// othersAt is when the store last answered another VM, by its own statement, if others is
	// true.
	othersAt time.Duration
	others   bool
	// last is the last silence that may have been an outage, if hasLast is true, and seen how
	// many VMs have seen it, as in State.
	last    gap
	seen    uint8
	hasLast bool
	grace   Grace
}

// New returns a detector that knows of no call yet.
func New() *Detector {
	return &Detector{witnessedAt: -stateLifetime, refutedAt: -stateLifetime, awayAt: -stateLifetime}
}

// Failed records that a call of this VM to the store has failed.
func (d *Detector) Failed(now time.Duration) {
	d.calledAt = now
	if !d.failing {
		d.failing, d.firstFailed = true, now
	}
	d.lastFailed = now
}

// Overdue records that a call of this VM to the store is overdue, if none has been answered for
// longer than interval, in which one is while the store answers. It may stall a single watch.
func (d *Detector) Overdue(now, interval time.Duration) {
	if !d.answered || now-d.answeredAt > interval {
		d.Failed(now)
	}
}

// Answered records that the store answered a call of this VM, and reports whether this has
// ended an outage.
func (d *Detector) Answered(now time.Duration) bool {
	ended := d.endSilence(now, now, true)
	d.calledAt, d.answeredAt, d.answered = now, now, true
	return ended
}

// Confirmed records that the store answered some VM at a time that is not after now.
func (d *Detector) Confirmed(now, at time.Duration) {
	if at > d.confirmedAt || !d.confirmed {
		d.endSilence(now, at, false)
	}
}

// Heard records the state that another VM has stated. It must be called before Confirmed for
// the same answer, which ends the failures of this VM that are evidence of an outage.
func (d *Detector) Heard(now time.Duration, s State) {
	if s.GraceLeft > 0 {
		d.heardOutage(now, s)
	}
	if s.Away > 1 {
		d.awayAt = now
	}
	if s.Others {
		d.Confirmed(now, now-max(s.OthersSilent, 0))
	}
	if !s.Calls {
		return
	}
	switch {
	case s.Failing:
		d.witnessedAt = now
	case s.GraceLeft <= 0:
		d.refutedAt = now
	}
	answeredAt := now - max(s.Silent, 0)
	if !d.others || answeredAt > d.othersAt {
		d.othersAt, d.others = answeredAt, true
	}
	d.Confirmed(now, answeredAt)
}

// heardOutage adopts an outage that another VM has detected, unless the store has answered
// during it.
func (d *Detector) heardOutage(now time.Duration, s State) {
	ended := now - GracePeriod + min(s.GraceLeft, GracePeriod)
	heard := gap{began: ended - max(s.Lasted, 0), ended: ended}
	if !d.isLast(heard) && !d.silentDuring(heard) {
		return
	}
	seen := min(s.Seen, 2)
	if seen == 1 && d.failing {
		seen = 2
	}
	d.keep(heard, seen, seen == 2)
}

// isLast reports whether a silence is a part of the last outage.
func (d *Detector) isLast(silence gap) bool {
	return d.hasLast && silence.began >= d.last.began-transferTime && silence.ended <= d.last.ended+transferTime
}

// silentDuring reports whether the store is not known to have answered during a silence.
func (d *Detector) silentDuring(heard gap) bool {
	if d.confirmedAt <= heard.began+transferTime {
		return true
	}
	return slices.ContainsFunc(d.gaps, func(g gap) bool {
		return g.began <= heard.began+transferTime && g.ended >= heard.ended-transferTime
	})
}

// endSilence records that the store answered this VM or another one at a time, and reports
// whether this has ended an outage.
func (d *Detector) endSilence(now, at time.Duration, own bool) bool {
	began := d.confirmedAt
	if !d.confirmed {
		began = min(d.firstFailed, at)
	}
	silence := gap{began, at}
	if d.confirmed && at-began >= minGap {
		d.gaps = append(d.gaps, silence)
	}
	d.gaps = slices.DeleteFunc(d.gaps, func(g gap) bool { return now-g.ended > GracePeriod+stateLifetime })
	ended := d.isOutage(now, silence, own)
	d.confirmedAt, d.confirmed = at, true
	d.dropFailuresBefore(at)
	return ended
}

// dropFailuresBefore forgets the failed calls before the store answered some VM.
func (d *Detector) dropFailuresBefore(at time.Duration) {
	switch {
	case !d.failing || d.firstFailed > at:
	case d.lastFailed > at:
		d.firstFailed = d.lastFailed
	default:
		d.failing = false
	}
}

// isOutage decides whether a silence that has just ended, by an answer to this VM or another
// one, counts as an outage, and keeps it if it may be one.
func (d *Detector) isOutage(now time.Duration, silence gap, own bool) bool {
	length := silence.ended - silence.began
	failed := d.failing && d.lastFailed <= silence.ended
	// A VM whose own first call is answered may have been told of an outage that only those
	// VMs see.
	toldAway := recent(d.awayAt, now, silence)
	switch {
	case own && (failed || toldAway || d.confirmed && length >= maxAnswerGap):
	case !own && failed && length >= minPeerGap:
	default:
		return false
	}
	seen := d.seenBy(now, silence)
	if toldAway && failed {
		seen = 2
	}
	d.keep(silence, seen, seen > 0)
	return seen > 0
}

// seenBy returns how many VMs see an outage in a silence, as in State, by what this VM has seen
// and others have stated of their own calls. What others have concluded does not count: VMs
// would confirm each other for ever.
func (d *Detector) seenBy(now time.Duration, silence gap) uint8 {
	length := silence.ended - silence.began
	failed := d.failing && d.lastFailed <= silence.ended
	lasting := failed && (d.lastFailed-d.firstFailed >= minFailing || length >= minSilence) || length >= maxAnswerGap
	refuted := length < minPeerGap && recent(d.refutedAt, now, silence)
	switch {
	case !lasting || refuted:
		return 0
	case recent(d.witnessedAt, now, silence):
		return 2
	}
	return 1
}

// recent reports whether what was stated at a time counts now, for a silence.
func recent(at, now time.Duration, silence gap) bool {
	return at > silence.began && now-at < stateLifetime
}

// keep makes a silence the last outage. Its grace period is certain or only suspected.
func (d *Detector) keep(silence gap, seen uint8, certain bool) {
	if until := silence.ended + GracePeriod; certain {
		d.grace.Until = max(d.grace.Until, until)
	} else {
		d.grace.SuspectedUntil = max(d.grace.SuspectedUntil, until)
	}
	if d.isLast(silence) {
		d.seen = max(d.seen, seen)
		return
	}
	if d.hasLast && silence.began < d.last.ended {
		seen = max(seen, d.seen)
	}
	d.last, d.seen, d.hasLast = silence, seen, true
}

// Grace returns the current grace periods.
func (d *Detector) Grace() Grace { return d.grace }

// State returns what this VM states to others.
func (d *Detector) State(now time.Duration) State {
	s := State{Calls: d.answered && now-d.calledAt < callsLifetime}
	if s.Calls {
		s.Silent, s.Failing = now-d.answeredAt, d.failing
	}
	if d.others && now-d.othersAt < callsLifetime {
		s.Others, s.OthersSilent = true, now-d.othersAt
	}
	if s.Failing {
		s.Away = d.seenBy(now, gap{d.confirmedAt, now})
	}
	if left := d.last.ended + GracePeriod - now; d.hasLast && left > 0 {
		s.GraceLeft, s.Lasted, s.Seen = left, d.last.ended-d.last.began, d.seen
	}
	return s
}
