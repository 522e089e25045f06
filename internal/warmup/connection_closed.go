package warmup

import "time"

// ConnectionClosed reports that the leaf closed a connection, idle or not. A
// restart closes connections, so the leaf gets no requests until a probe that
// began after the close has returned its boot ID. Without this check, a warm
// leaf that restarted while idle received two requests at once.
type ConnectionClosed struct {
	// ClosedCount is the number of connections that the leaf has closed so far.
	ClosedCount uint64
}

func (ConnectionClosed) event() {}

// closedCounts compares the number of connections that the leaf has closed with
// the number at the start of the latest successful probe. The leaf may have
// restarted since that probe if the total is higher.
type closedCounts struct {
	total, confirmed uint64
}

func (c closedCounts) unconfirmed() bool { return c.total > c.confirmed }

func (t *Tracker) connectionClosed(now time.Duration, ev ConnectionClosed) {
	if ev.ClosedCount <= t.closed.total {
		return
	}
	if !t.closed.unconfirmed() {
		t.nextProbe = now
	}
	t.closed.total = ev.ClosedCount
}
