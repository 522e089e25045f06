package timeline

import "sync"

// Log holds the latest events of a process in a ring buffer. It is safe for
// concurrent use.
type Log struct {
	clock *Clock

	mu sync.Mutex
	// ring is the buffer, next the position of the next event to be stored, and
	// full whether all positions are in use.
	ring    []Event
	next    int
	full    bool
	dropped uint64
}

// NewLog returns a log that holds up to size events. The minimum size is 1.
func NewLog(clock *Clock, size int) *Log {
	return &Log{clock: clock, ring: make([]Event, max(size, 1))}
}

// Add stamps and stores an event. A full log drops its oldest event.
func (l *Log) Add(kind Kind, requestID, subject, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The stamp is read while the lock is held, so that events are stored in the
	// order of their stamps.
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

// Events returns the stored events, oldest first, and the number of all dropped
// events. If requestID is not empty, it returns only the events of that request.
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
