package warmup

import "time"

// unmeasuredReplyTimeout is how long a leaf without a measured latency may take
// to reply before other leaves are preferred. It is below the latency targets
// of most classes, so that the next query still reaches another leaf in time.
const unmeasuredReplyTimeout = 300 * time.Millisecond

// responsiveness tracks whether the leaf replies to the requests that it runs.
// Reports cannot show that: a leaf that accepts requests and never replies may
// still answer probes.
type responsiveness struct {
	// waitingSince is the latest time at which the leaf replied to or refused a
	// request, or was sent one while no other request sent after its last
	// demotion was in flight.
	waitingSince time.Duration
	// unanswered is the number of requests that got no reply since the last
	// reply.
	unanswered int
}

// OnProbation reports whether the leaf has left requests without a reply since
// its last reply. Until the leaf replies again, it gets only requests that it
// can start at once. A warm leaf is never on probation, since it turns cold
// first.
func (t *Tracker) OnProbation() bool { return t.NeedsLease() && t.responsiveness.unanswered > 0 }

// Unresponsive reports whether other leaves of the shard are preferred: the
// leaf is on probation, or it is not warm and has not replied to its requests
// for too long.
func (t *Tracker) Unresponsive(now time.Duration) bool {
	at, ok := t.UnresponsiveFrom()
	return t.OnProbation() || ok && now >= at
}

// UnresponsiveFrom returns the time from which the leaf counts as unresponsive
// unless it replies earlier. It returns false if the leaf does not need a lease
// or has no request in flight that was sent after its last demotion.
func (t *Tracker) UnresponsiveFrom() (time.Duration, bool) {
	if t.inFlight == t.staleInFlight || !t.NeedsLease() {
		return 0, false
	}
	return t.responsiveness.waitingSince + t.latencies.slowBound() + 1, true
}

// responded records a reply or a refusal.
func (t *Tracker) responded(now time.Duration) { t.responsiveness.waitingSince = now }

func (t *Tracker) dispatched(now time.Duration) {
	if t.inFlight == t.staleInFlight {
		t.responsiveness.waitingSince = now
	}
	t.inFlight++
}
