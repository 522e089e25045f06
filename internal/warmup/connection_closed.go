package warmup

import "time"

// ConnectionClosed says that the leaf has closed a connection, idle or not. A
// restart does that, so the leaf gets no requests until a probe that began
// later has shown its boot ID. Without it a warm leaf that restarts while idle
// got two requests at once.
type ConnectionClosed struct {
	// ClosedCount is the number of connections that the leaf has closed so far.
	ClosedCount uint64
}

func (ConnectionClosed) event() {}

// closing counts closed connections, to tell whether the leaf may have
// restarted since its last probe.
type closing struct {
	seen, probed uint64
}

func (c closing) unchecked() bool { return c.seen > c.probed }

func (t *Tracker) connectionClosed(now time.Duration, ev ConnectionClosed) {
	if ev.ClosedCount <= t.closing.seen {
		return
	}
	if !t.closing.unchecked() {
		t.nextProbe = now
	}
	t.closing.seen = ev.ClosedCount
}
