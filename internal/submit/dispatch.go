package submit

import "time"

// Dispatch reports whether the request of a ticket may be sent now. It returns
// true at most once per ticket. If the deadline has passed, for example because
// the process was paused after Submit, the outcome becomes NotRun. The caller that
// got Run calls Finish in either case.
func (l *Ledger) Dispatch(now time.Duration, ticket Ticket) bool {
	now = l.advanceClock(now)
	r := l.find(ticket)
	if r == nil {
		return false
	}
	r.applyDeadline(now)
	if r.state != accepted {
		return false
	}
	r.state = dispatched
	r.wasDispatched = true
	return true
}
