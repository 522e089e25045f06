package timeline

import "sync"

// Log keeps the latest events of a process in bounded memory. It is safe for
// concurrent use.
type Log struct {
	clock *Clock

	mu      sync.Mutex
	ring    []Event
	next    int
	full    bool
	dropped uint64
}

// NewLog returns a log that holds up to size events, at least one.
func NewLog(clock *Clock, size int) *Log {
	return &Log{clock: clock, ring: make([]Event, max(size, 1))}
}

// Add stamps and stores an event. A full log drops its oldest event.
func (l *Log) Add(kind Kind, requestID, subject, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The stamp is taken under the lock, so that events are stored in its order.
	e := Event{Stamp: l.clock.Now(), Kind: kind, RequestID: requestID, Subject: subject, Detail: detail}
	if l.full {
		l.dropped++
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
	if l.next == 0 {
		l.full = true
	}
}

// Events returns the stored events, oldest first, and how many were dropped.
// With a request ID, it returns only that request's events.
func (l *Log) Events(requestID string) ([]Event, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ordered := l.ring[:l.next]
	if l.full {
		ordered = append(append([]Event{}, l.ring[l.next:]...), l.ring[:l.next]...)
	}
	var out []Event
	for _, e := range ordered {
		if requestID == "" || e.RequestID == requestID {
			out = append(out, e)
		}
	}
	return out, l.dropped
}
