package logsink

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that block because the reader of the log does not
// read.
func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	_, out := io.Pipe()
	s := New(out)
	start := time.Now()
	for range 100_000 {
		_, err := s.Write([]byte("E line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
}

// Load pattern: every request fails and writes lines. Guards against more lines
// or bytes than the limits, against successes that displace failures, and
// against omissions that are not reported.
func TestLinesAreBounded(t *testing.T) {
	var l limiter
	for second := range 3 {
		now := time.Duration(second) * time.Second
		infos, failures := 0, 0
		for range 1000 {
			if l.allow(now, 100, false) {
				infos++
			}
		}
		for range 1000 {
			if l.allow(now, 100, true) {
				failures++
			}
		}
		assert.Equal(t, infos, MaxLines)
		assert.Equal(t, failures, reserveLines)
		assert.DeepEqual(t, fmt.Sprint(l.takeOmitted()), fmt.Sprint(omittedCounts{info: 800, failures: 900}))
	}
	assert.Assert(t, !l.allow(9*time.Second, MaxBytes+1, false))
}

// lockedBuffer is a reader of the log.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// slowBuffer is a slow reader of the log.
type slowBuffer struct{ lockedBuffer }

func (s *slowBuffer) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return s.lockedBuffer.Write(p)
}

// Guards against losing the last line of a process because it is still being
// written when the process exits.
func TestFlushWaitsForTheLineThatIsBeingWritten(t *testing.T) {
	var out slowBuffer
	s := New(&out)
	_, err := s.Write([]byte("I Stopped\n"))
	assert.NilError(t, err)
	time.Sleep(5 * time.Millisecond)
	s.Flush()
	assert.Equal(t, out.String(), "I Stopped\n")
}

// Guards against lost or reordered lines, and against omitted lines whose
// number is not logged.
func TestLinesArriveInOrder(t *testing.T) {
	var out lockedBuffer
	s := New(&out)
	for i := range MaxLines + 50 {
		_, _ = fmt.Fprintf(s, "I line %d\n", i)
	}
	s.Flush()
	time.Sleep(reportInterval + 300*time.Millisecond)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), MaxLines+1)
	assert.Equal(t, lines[7], "I line 7")
	assert.Equal(t, lines[MaxLines], `W "Omitted log lines" info=50 failures=0`)
}
