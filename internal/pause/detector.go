package pause

import "time"

const (
	// DefaultTolerance is above the scheduling delays of a loaded VM.
	DefaultTolerance = 1500 * time.Millisecond

	// confirmLimit is how long work is refused without a confirmation, so that
	// a process whose agent is gone goes on serving.
	confirmLimit = time.Second
)

// Detector finds pauses from a timer that fires every interval. It is not safe
// for concurrent use.
type Detector struct {
	late time.Duration

	started  bool
	last     time.Duration
	found    time.Duration
	refusing bool
	// unreported is set when a pause was found outside of Tick.
	unreported bool
}

// New returns a detector for a timer with an interval. A tick that is late by
// more than the tolerance shows a pause.
func New(interval, tolerance time.Duration) *Detector {
	return &Detector{late: interval + tolerance}
}

// Tick takes in a firing of the timer and reports whether the process was
// paused since the previous one.
func (d *Detector) Tick(now time.Duration) bool {
	d.check(now)
	paused := d.unreported
	d.unreported = false
	d.started = true
	d.last = now
	return paused
}

// Confirm takes in that the agent has confirmed the configuration. The
// confirmation was asked for at a time; one from before the pause was found
// does not count, as it may have waited in a socket while the process stood
// still.
func (d *Detector) Confirm(asked time.Duration) {
	if asked >= d.found {
		d.refusing = false
	}
}

// MayAccept reports whether new work may be accepted. It finds a pause itself,
// since work may be read before the late timer fires.
func (d *Detector) MayAccept(now time.Duration) bool {
	d.check(now)
	if d.refusing && now-d.found >= confirmLimit {
		d.refusing = false
	}
	return !d.refusing
}

func (d *Detector) check(now time.Duration) {
	if !d.started || now-d.last <= d.late {
		return
	}
	d.last = now
	d.found = now
	d.refusing = true
	d.unreported = true
}
