package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringCapacity is how many lines may wait, a few seconds' worth.
	ringCapacity = 1024
	// reportInterval is how often the number of omitted lines is written.
	reportInterval = time.Second
	// flushTimeout bounds the wait for the reader of the log at the end.
	flushTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer of whole log lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	started time.Time
	ring    chan []byte
	// pending counts lines that are accepted and not yet written.
	pending atomic.Int64

	mu      sync.Mutex
	limiter limiter
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, started: time.Now(), ring: make(chan []byte, ringCapacity)}
	go s.run()
	return s
}

// Write takes in a line of klog, whose first byte is its severity. It never
// blocks and always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	failure := len(line) > 0 && line[0] != 'I'
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.allow(time.Since(s.started), len(line), failure) {
		return len(line), nil
	}
	select {
	case s.ring <- append([]byte(nil), line...):
		s.pending.Add(1)
	default:
		s.limiter.omit(failure)
	}
	return len(line), nil
}

// Flush waits a little until the lines so far are written.
func (s *Sink) Flush() {
	for end := time.Now().Add(flushTimeout); s.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// run writes lines. A reader that is gone or slow only costs log lines.
func (s *Sink) run() {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-s.ring:
			_, _ = s.out.Write(line)
			s.pending.Add(-1)
		case <-report.C:
			s.report()
		}
	}
}

func (s *Sink) report() {
	s.mu.Lock()
	left := s.limiter.takeOmitted()
	s.mu.Unlock()
	if left != (omittedCounts{}) {
		_, _ = fmt.Fprintf(s.out, "W \"Left out log lines\" info=%d failures=%d\n", left.info, left.failures)
	}
}
