package logsink

import "time"

// Limits of the log lines that a process writes in a window. The reserve is for
// failures only.
const (
	MaxLines    = 200
	MaxBytes    = 64 << 10
	LimitWindow = time.Second

	reserveLines = 100
	reserveBytes = 32 << 10
)

// limiter decides which lines are written. It handles bursts of failing
// requests, each of which would write lines. Time is monotonic.
type limiter struct {
	windowStart  time.Duration
	lines, bytes int
	omitted      omittedCounts
}

// omittedCounts counts the lines that were not written.
type omittedCounts struct{ info, failures int }

// allow reports whether a line fits into the current window, and counts it.
func (l *limiter) allow(now time.Duration, size int, failure bool) bool {
	if now-l.windowStart >= LimitWindow {
		l.windowStart, l.lines, l.bytes = now, 0, 0
	}
	lines, bytes := MaxLines, MaxBytes
	if failure {
		lines, bytes = lines+reserveLines, bytes+reserveBytes
	}
	if l.lines >= lines || l.bytes+size > bytes {
		l.omit(failure)
		return false
	}
	l.lines++
	l.bytes += size
	return true
}

func (l *limiter) omit(failure bool) {
	if failure {
		l.omitted.failures++
	} else {
		l.omitted.info++
	}
}

// takeOmitted returns the counts of omitted lines since the last call.
func (l *limiter) takeOmitted() omittedCounts {
	out := l.omitted
	l.omitted = omittedCounts{}
	return out
}
