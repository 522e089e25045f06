package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is how many lines may wait, a few seconds' worth.
	queueCapacity = 1024
	// reportInterval is the time between two reports of omitted lines.
	reportInterval = time.Second
	// flushTimeout limits how long Flush waits for the log's reader.
	flushTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer of complete log lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	started time.Time
	queue   chan []byte
	// pending counts the lines that are accepted and not yet written.
	pending atomic.Int64

	mu      sync.Mutex
	limiter limiter
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, started: time.Now(), queue: make(chan []byte, queueCapacity)}
	go s.run()
	return s
}

// Write accepts a line of klog, whose first byte is its severity. It never
// blocks and always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	failure := len(line) > 0 && line[0] != 'I'
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.allow(time.Since(s.started), len(line), failure) {
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
		s.pending.Add(1)
	default:
		s.limiter.omit(failure)
	}
	return len(line), nil
}

// Flush waits up to flushTimeout until all accepted lines are written.
func (s *Sink) Flush() {
	for end := time.Now().Add(flushTimeout); s.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// run writes the lines. If the reader of the log has exited or is slow, only
// log lines are lost.
func (s *Sink) run() {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-s.queue:
			_, _ = s.out.Write(line)
			s.pending.Add(-1)
		case <-report.C:
			s.report()
		}
	}
}

func (s *Sink) report() {
	s.mu.Lock()
	omitted := s.limiter.takeOmitted()
	s.mu.Unlock()
	if omitted != (omittedCounts{}) {
		_, _ = fmt.Fprintf(s.out, "W \"Omitted log lines\" info=%d failures=%d\n", omitted.info, omitted.failures)
	}
}
