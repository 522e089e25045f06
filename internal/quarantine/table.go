package quarantine

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Table is one process's view of the requests that crash upstreams. It is not
// safe for concurrent use.
type Table struct {
	config  Config
	entries map[uint64]*entry
	seen    seenSet
	// suspects holds until when a class is suspect.
	suspects map[topology.ClassID]time.Duration
	seq      uint64
}

// New returns an empty table.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:   config,
		entries:  make(map[uint64]*entry),
		seen:     newSeenSet(config.MaxEntries),
		suspects: make(map[topology.ClassID]time.Duration),
	}
}

// RecordLoss counts a crash-like loss that this process saw and returns the facts to
// spread.
func (t *Table) RecordLoss(now time.Duration, class topology.ClassID, fingerprint uint64) []LossReport {
	t.seq++
	fact := LossReport{Class: class, Fingerprint: fingerprint, Origin: t.config.Origin, Seq: t.seq, Remaining: t.config.LossTTL}
	t.ApplyReport(now, fact)
	fact.Blocked = t.Blocked(now, fingerprint)
	return []LossReport{fact}
}

// ApplyReport takes in a fact from another VM. A fact that is known, older than a
// known one of its origin, or over, changes nothing.
func (t *Table) ApplyReport(now time.Duration, f LossReport) {
	if f.Remaining <= 0 {
		return
	}
	until := now + min(f.Remaining, t.config.LossTTL)
	e := t.entry(now, f)
	if e == nil {
		t.suspect(now, f)
		return
	}
	if e.add(now, loss{origin: f.Origin, seq: f.Seq, until: until}) {
		t.suspect(now, f)
		t.seen.remove(f.Fingerprint)
	}
	known, ok := e.find(f.Origin, f.Seq)
	if ok && known.until > now && (f.Blocked || e.alive(now) >= t.config.LossThreshold || e.blockedUntil > now) {
		e.blockedUntil = max(e.blockedUntil, known.until)
	}
}

// ActiveLosses returns the facts that still hold, for a VM that has just joined.
func (t *Table) ActiveLosses(now time.Duration) []LossReport {
	var out []LossReport
	for fingerprint, e := range t.entries {
		for _, l := range e.losses {
			if l.until > now {
				out = append(out, LossReport{
					Class: e.class, Fingerprint: fingerprint, Origin: l.origin, Seq: l.seq,
					Remaining: l.until - now, Blocked: e.blockedUntil >= l.until,
				})
			}
		}
	}
	return out
}

// Blocked reports whether a request must be refused.
func (t *Table) Blocked(now time.Duration, fingerprint uint64) bool {
	e, ok := t.entries[fingerprint]
	return ok && e.blockedUntil > now
}

// NeedsCanary reports whether a request must go to one leaf before it fans out.
func (t *Table) NeedsCanary(now time.Duration, class topology.ClassID, mode topology.CanaryMode, fingerprint uint64) bool {
	switch mode {
	case topology.CanaryNever:
		return false
	case topology.CanaryAlways:
		return !t.seen.has(fingerprint)
	default:
		return t.suspects[class] > now && !t.seen.has(fingerprint)
	}
}

// RecordReply counts a canary that replied: its fingerprint is seen from now on,
// until a loss. It does not lift a quarantine.
func (t *Table) RecordReply(now time.Duration, fingerprint uint64) {
	if !t.Blocked(now, fingerprint) {
		t.seen.add(fingerprint)
	}
}

// suspect makes the class of a new loss suspect, counted from the loss.
func (t *Table) suspect(now time.Duration, f LossReport) {
	age := t.config.LossTTL - min(f.Remaining, t.config.LossTTL)
	until := now + t.config.SuspectTTL - age
	if until > t.suspects[f.Class] {
		t.suspects[f.Class] = until
	}
}
