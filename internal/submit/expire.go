package submit

import "time"

// Expire frees the records of tickets whose lifetime has ended, except those whose
// request awaits Finish. Begin and Submit do the same. Call Expire about once a
// second, so that the first call after an idle period doesn't free many records at
// once.
func (l *Ledger) Expire(now time.Duration) {
	l.advanceClock(now)
	l.expire()
}

func (l *Ledger) expire() {
	for l.queue.head != nil && l.clock-l.queue.head.issuedAt >= l.config.Lifetime {
		r := l.queue.pop()
		r.expired = true
		if !r.awaitingFinish {
			delete(l.records, r.seq)
		}
	}
}
