package warmup

import "time"

// unmeasuredWait is how long a leaf without a measured latency may take for a
// reply until others are preferred. It is below the latency targets of most
// classes, so that the next query still finds another leaf in time.
const unmeasuredWait = 300 * time.Millisecond

// silence follows whether a leaf replies to what it runs. Reports say nothing
// of that: a leaf that accepts work and never replies may still answer them.
type silence struct {
	// since is when the leaf last replied or refused, or got its first request
	// after it was idle or had fallen to cold.
	since time.Duration
	// unanswered is the number of requests that ended without a reply since the
	// last one.
	unanswered int
}

// OnProbation reports whether the last request that the leaf has ended got no
// reply. Such a leaf takes work only as far as it can start at once, until it
// replies again. A warm leaf is never on trial: it falls to cold first.
func (t *Tracker) OnProbation() bool { return t.NeedsLease() && t.silence.unanswered > 0 }

// Unresponsive reports whether other leaves of the shard are to be preferred: the
// leaf is on trial, or it is not warm and its requests wait for too long.
func (t *Tracker) Unresponsive(now time.Duration) bool {
	at, ok := t.UnresponsiveFrom()
	return t.OnProbation() || ok && now >= at
}

// UnresponsiveFrom returns when the leaf counts as silent unless it replies before,
// or false when it is warm or runs nothing that was sent since its last fall.
func (t *Tracker) UnresponsiveFrom() (time.Duration, bool) {
	if t.inFlight == t.ignore || !t.NeedsLease() {
		return 0, false
	}
	return t.silence.since + t.times.longest() + 1, true
}

// alive notes a reply or a refusal.
func (t *Tracker) alive(now time.Duration) { t.silence.since = now }

func (t *Tracker) dispatched(now time.Duration) {
	if t.inFlight == t.ignore {
		t.silence.since = now
	}
	t.inFlight++
}
