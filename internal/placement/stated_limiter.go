package placement

import "time"

// statedBurst is how much of its share of a leaf's stated limit a VM may save up. All
// shares together then send no more than the limit and one second's worth of it in any
// interval.
const statedBurst = time.Second

// statedLimiter limits the requests of this VM to a leaf that states how many it takes.
type statedLimiter struct {
	// rate is this VM's share, in requests per second.
	rate float64
	// tokens is how many requests may be sent at filledAt.
	tokens   float64
	filledAt time.Duration
}

// setRate changes the share.
func (l *statedLimiter) setRate(rate float64) {
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

// reset empties a limiter that has not been in use.
func (l *statedLimiter) reset(now time.Duration) { l.tokens, l.filledAt = 0, now }

func (l *statedLimiter) burst() float64 {
	if l.rate == 0 {
		return 0
	}
	return max(l.rate*statedBurst.Seconds(), 1)
}

func (l *statedLimiter) fill(now time.Duration) {
	l.tokens = min(l.tokens+l.rate*(now-l.filledAt).Seconds(), l.burst())
	l.filledAt = now
}

// wait returns how long it takes until one more request may be sent, or false if this VM
// has no share.
func (l *statedLimiter) wait(now time.Duration) (time.Duration, bool) {
	l.fill(now)
	// One nanosecond's worth less than a token absorbs rounding errors.
	missing := 1 - l.tokens - l.rate*time.Nanosecond.Seconds()
	switch {
	case l.rate == 0:
		return 0, false
	case missing <= 0:
		return 0, true
	}
	return time.Duration(missing / l.rate * float64(time.Second)), true
}

func (l *statedLimiter) allows(now time.Duration) bool {
	wait, ok := l.wait(now)
	return ok && wait == 0
}

func (l *statedLimiter) record(now time.Duration) {
	l.fill(now)
	l.tokens--
}
