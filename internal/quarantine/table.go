package quarantine

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Table records the requests that crash upstreams, as far as this process knows
// them. It is not safe for concurrent use.
type Table struct {
	config  Config
	records map[uint64]*record
	seen    seenSet
	// suspectUntil holds the time until which each class is suspect.
	suspectUntil map[topology.ClassID]time.Duration
	// replies holds the latest replies of each class.
	replies map[topology.ClassID]latestReplies
	seq     uint64
}

// New returns an empty table.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:       config,
		records:      make(map[uint64]*record),
		seen:         newSeenSet(config.MaxFingerprints),
		suspectUntil: make(map[topology.ClassID]time.Duration),
		replies:      make(map[topology.ClassID]latestReplies),
	}
}

// Loss is a crash-like loss that this process observed.
type Loss struct {
	Class       topology.ClassID
	Fingerprint uint64
	// Ran is how long the request had run, Age how long ago the upstream was lost.
	Ran, Age time.Duration
}

// RecordLoss records a crash-like loss that this process observed and returns
// the reports to send to the other VMs.
func (t *Table) RecordLoss(now time.Duration, class topology.ClassID, fingerprint uint64) []LossReport {
	return t.RecordLosses(now, Loss{Class: class, Fingerprint: fingerprint})
}

// RecordLosses is RecordLoss for losses that occurred earlier, in order.
func (t *Table) RecordLosses(now time.Duration, losses ...Loss) []LossReport {
	out := make([]LossReport, 0, len(losses))
	for _, l := range losses {
		report := t.newReport(l.Class, l.Fingerprint)
		report.Ran, report.Remaining = l.Ran, report.Remaining-l.Age
		t.ApplyReport(now, report)
		report.Blocked = t.Blocked(now, l.Fingerprint)
		out = append(out, report)
	}
	return out
}

// newReport returns the next report of this process.
func (t *Table) newReport(class topology.ClassID, fingerprint uint64) LossReport {
	t.seq++
	return LossReport{Class: class, Fingerprint: fingerprint, Origin: t.config.Origin, Seq: t.seq, Remaining: t.config.LossTTL}
}

// ApplyReport applies a report and reports whether it was news: a new loss or reply, or the
// loss that blocked the request here. One that is already known, older than a known one of
// its origin, or expired changes nothing.
func (t *Table) ApplyReport(now time.Duration, report LossReport) bool {
	if report.Remaining <= 0 {
		return false
	}
	until := now + min(report.Remaining, t.config.LossTTL)
	rec := t.recordFor(now, report)
	if rec == nil {
		t.markSuspect(now, report)
		return false
	}
	in := entry{origin: report.Origin, seq: report.Seq, expiresAt: until, ran: report.Ran, reply: report.Cleared}
	if in.reply && !rec.knows(in) {
		rec.clear(in)
	}
	added := rec.add(now, in)
	if in.reply {
		return added
	}
	blocked := rec.blockedUntil > now
	crashes := report.Blocked || t.crashes(now, report.Fingerprint, rec)
	if added {
		t.seen.remove(report.Fingerprint)
		if crashes || !t.config.SuspectBlocked {
			t.markSuspect(now, report)
		}
	}
	stored, ok := rec.find(report.Origin, report.Seq)
	if ok && stored.expiresAt > now && (crashes || rec.blockedUntil > now) {
		rec.blockedUntil = max(rec.blockedUntil, stored.expiresAt)
	}
	return added || !blocked && rec.blockedUntil > now
}

// crashes reports whether the losses of a request are due to itself. So many that a record
// is full are, however short the time.
func (t *Table) crashes(now time.Duration, fingerprint uint64, rec *record) bool {
	counted := rec.separate(now)
	if len(counted) < t.config.LossThreshold {
		return false
	}
	first, last := rec.entries[counted[0]].expiresAt, rec.entries[counted[len(counted)-1]].expiresAt
	span := t.config.MaxSpan
	if t.replies[rec.class].otherSince(fingerprint, first-t.config.LossTTL) {
		span = t.config.MinSpan
	}
	return last-first >= span || len(counted) >= maxEntries
}

// ActiveLosses returns reports of all active losses and of the replies that cleared
// earlier ones, for a VM that has just joined.
func (t *Table) ActiveLosses(now time.Duration) []LossReport {
	var out []LossReport
	for fingerprint, rec := range t.records {
		for _, e := range rec.entries {
			if e.expiresAt > now && !e.cleared {
				out = append(out, LossReport{
					Class: rec.class, Fingerprint: fingerprint, Origin: e.origin, Seq: e.seq, Remaining: e.expiresAt - now,
					Blocked: !e.reply && rec.blockedUntil >= e.expiresAt, Ran: e.ran, Cleared: e.reply,
				})
			}
		}
	}
	return out
}

// Blocked reports whether requests with this fingerprint must be refused.
func (t *Table) Blocked(now time.Duration, fingerprint uint64) bool {
	return t.BlockedFor(now, fingerprint) > 0
}

// BlockedFor returns how much longer requests with this fingerprint must be refused.
func (t *Table) BlockedFor(now time.Duration, fingerprint uint64) time.Duration {
	rec, ok := t.records[fingerprint]
	if !ok {
		return 0
	}
	return max(rec.blockedUntil-now, 0)
}

// NeedsCanary reports whether a request must be sent to one leaf first, before
// it fans out.
func (t *Table) NeedsCanary(now time.Duration, class topology.ClassID, mode topology.CanaryMode, fingerprint uint64) bool {
	switch mode {
	case topology.CanaryNever:
		return false
	case topology.CanaryAlways:
		return !t.seen.has(fingerprint)
	default:
		return (t.Suspect(now, class) || t.hasLosses(now, fingerprint)) && !t.seen.has(fingerprint)
	}
}

// Suspect reports whether requests of a class have crashed upstreams lately.
func (t *Table) Suspect(now time.Duration, class topology.ClassID) bool {
	return t.suspectUntil[class] > now
}

// hasLosses reports whether a fingerprint has active losses.
func (t *Table) hasLosses(now time.Duration, fingerprint uint64) bool {
	rec, ok := t.records[fingerprint]
	return ok && slices.ContainsFunc(rec.entries, func(e entry) bool { return e.isLoss(now) })
}

// RecordReply records that an upstream replied to a request. Its fingerprint counts as seen
// until a loss, and needs no canary. With Config.RepliesClear the reply clears the losses
// before it, and the reports to send to the other VMs are returned; otherwise a quarantine
// is not lifted.
func (t *Table) RecordReply(now time.Duration, class topology.ClassID, fingerprint uint64) []LossReport {
	if t.config.RepliesClear {
		t.replies[class] = t.replies[class].with(now, fingerprint)
	}
	if t.config.RepliesClear && t.hasLosses(now, fingerprint) {
		report := t.newReport(t.records[fingerprint].class, fingerprint)
		report.Cleared = true
		t.ApplyReport(now, report)
		t.seen.add(fingerprint)
		return []LossReport{report}
	}
	if !t.Blocked(now, fingerprint) {
		t.seen.add(fingerprint)
	}
	return nil
}

// markSuspect makes the class of a loss suspect for SuspectTTL after the loss
// occurred.
func (t *Table) markSuspect(now time.Duration, report LossReport) {
	age := t.config.LossTTL - min(report.Remaining, t.config.LossTTL)
	until := now + t.config.SuspectTTL - age
	if until > t.suspectUntil[report.Class] {
		t.suspectUntil[report.Class] = until
	}
}
