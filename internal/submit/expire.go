package submit

import "time"

// Expire frees the records of tickets whose lifetime is over, except those
// whose request is running. Begin and Submit do the same; call Expire once a
// second or so, so that a busy moment after an idle one does not free many
// records at once.
func (l *Ledger) Expire(now time.Duration) {
	l.advance(now)
	l.expire()
}

func (l *Ledger) expire() {
	for l.queue.head != nil && l.clock-l.queue.head.issuedAt >= l.config.Lifetime {
		r := l.queue.pop()
		r.expired = true
		if !r.held {
			delete(l.records, r.seq)
		}
	}
}
