package submit

import "time"

// Dispatch reports whether the request of a ticket may be sent now. It returns
// true at most once per ticket. When the deadline has passed, which happens to
// a process that was paused after Submit, "not run" becomes the outcome. The
// holder of Run calls Finish after either result.
func (l *Ledger) Dispatch(now time.Duration, ticket Ticket) bool {
	now = l.advance(now)
	r := l.find(ticket)
	if r == nil {
		return false
	}
	r.settleIfLate(now)
	if r.state != accepted {
		return false
	}
	r.state = dispatched
	r.sent = true
	return true
}
