package pause

import "time"

const (
	// DefaultTolerance exceeds the scheduling delays of a loaded VM.
	DefaultTolerance = 1500 * time.Millisecond

	// maxRefusal is how long work is refused without a confirmation, so that a
	// process whose agent does not run continues to serve requests.
	maxRefusal = time.Second
)

// Detector detects pauses of the process by the delay of a periodic timer. It is
// not safe for concurrent use.
type Detector struct {
	maxTickGap time.Duration

	started    bool
	lastTick   time.Duration
	detectedAt time.Duration
	refusing   bool
	// unreported is true while a detected pause has not been returned by Tick.
	unreported bool
}

// New returns a detector for a timer that fires every interval. A tick that is
// late by more than the tolerance indicates a pause.
func New(interval, tolerance time.Duration) *Detector {
	return &Detector{maxTickGap: interval + tolerance}
}

// Tick records that the timer has fired and reports whether the process was
// paused since the previous tick.
func (d *Detector) Tick(now time.Duration) bool {
	d.detect(now)
	paused := d.unreported
	d.unreported = false
	d.started = true
	d.lastTick = now
	return paused
}

// Confirm records that the agent has confirmed the configuration in reply to a
// request sent at requestedAt. A confirmation requested before the pause was
// detected is ignored, since it may have waited in a socket during the pause.
func (d *Detector) Confirm(requestedAt time.Duration) {
	if requestedAt >= d.detectedAt {
		d.refusing = false
	}
}

// MayAccept reports whether new work may be accepted. It also detects pauses,
// since work may be read before the delayed timer fires.
func (d *Detector) MayAccept(now time.Duration) bool {
	d.detect(now)
	if d.refusing && now-d.detectedAt >= maxRefusal {
		d.refusing = false
	}
	return !d.refusing
}

func (d *Detector) detect(now time.Duration) {
	if !d.started || now-d.lastTick <= d.maxTickGap {
		return
	}
	d.lastTick = now
	d.detectedAt = now
	d.refusing = true
	d.unreported = true
}
