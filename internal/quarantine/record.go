package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxEntries bounds the losses and replies of one fingerprint. A blocked fingerprint is not
// dispatched, so only attempts that were already running add further losses.
const maxEntries = 16

// entry is one crash-like loss of a fingerprint, or a reply to it.
type entry struct {
	origin    uint64
	seq       uint64
	expiresAt time.Duration
	// ran is how long the request had run when the upstream was lost.
	ran time.Duration
	// reply is true for a reply, cleared for a loss before one. They are kept, so that the
	// same report is no news when it arrives again.
	reply, cleared bool
}

// isLoss reports whether the entry is a loss that counts.
func (e entry) isLoss(now time.Duration) bool {
	return !e.reply && !e.cleared && e.expiresAt > now
}

// record holds the losses of one fingerprint and the replies that cleared earlier ones.
type record struct {
	class   topology.ClassID
	entries []entry
	// blockedUntil is zero until the fingerprint is blocked.
	blockedUntil time.Duration
	// clearedUntil is when a loss at the time of the latest reply would expire. Losses that
	// expire no later do not count.
	clearedUntil time.Duration
}

// expiresAt returns when the last entry has expired and the fingerprint is no
// longer blocked.
func (rec *record) expiresAt() time.Duration {
	latest := rec.blockedUntil
	for _, e := range rec.entries {
		latest = max(latest, e.expiresAt)
	}
	return latest
}

// separate returns the indices of the most active losses of which each began to run after
// the one before it was lost, in order. Requests that run at the same time can be lost to
// one fault that none of them caused.
func (rec *record) separate(now time.Duration) []int {
	var active, out []int
	for i, e := range rec.entries {
		if e.isLoss(now) {
			active = append(active, i)
		}
	}
	slices.SortFunc(active, func(a, b int) int { return cmp.Compare(rec.entries[a].expiresAt, rec.entries[b].expiresAt) })
	for _, i := range active {
		if len(out) == 0 || rec.entries[i].expiresAt-rec.entries[i].ran >= rec.entries[out[len(out)-1]].expiresAt {
			out = append(out, i)
		}
	}
	return out
}

// clear applies a reply to the losses before it.
func (rec *record) clear(reply entry) {
	rec.clearedUntil = max(rec.clearedUntil, reply.expiresAt)
	for i := range rec.entries {
		e := &rec.entries[i]
		e.cleared = e.cleared || !e.reply && e.expiresAt <= rec.clearedUntil
	}
	rec.blockedUntil = 0
}

// add stores an entry and reports whether it is new. It ignores one that is not newer than
// a stored one of the same origin. A full record replaces the loss without effect that
// expires first, or one that ran beside another if the new one did not; else the entry is not
// stored.
func (rec *record) add(now time.Duration, in entry) bool {
	if !in.reply && in.expiresAt <= rec.clearedUntil {
		return false
	}
	if rec.knows(in) {
		return false
	}
	var replaceable *entry
	for i := range rec.entries {
		e := &rec.entries[i]
		if in.reply && e.reply && e.origin == in.origin {
			*e = in
			return true
		}
		if (e.cleared || e.expiresAt <= now) && (replaceable == nil || e.expiresAt < replaceable.expiresAt) {
			replaceable = e
		}
	}
	switch {
	case len(rec.entries) < maxEntries:
		rec.entries = append(rec.entries, in)
	case replaceable != nil:
		*replaceable = in
	default:
		return rec.replaceSimultaneous(now, in)
	}
	return true
}

// knows reports whether an entry is known, or older than a known one of its origin.
func (rec *record) knows(in entry) bool {
	return slices.ContainsFunc(rec.entries, func(e entry) bool { return e.origin == in.origin && e.seq >= in.seq })
}

// replaceSimultaneous stores a loss in place of one that separate leaves out, if it makes the
// separate ones more.
func (rec *record) replaceSimultaneous(now time.Duration, in entry) bool {
	counted := rec.separate(now)
	for i := range rec.entries {
		old := rec.entries[i]
		if old.reply || slices.Contains(counted, i) {
			continue
		}
		rec.entries[i] = in
		if len(rec.separate(now)) > len(counted) {
			return true
		}
		rec.entries[i] = old
	}
	return false
}

// find returns the stored entry with the given origin and sequence number.
func (rec *record) find(origin, seq uint64) (entry, bool) {
	for _, e := range rec.entries {
		if e.origin == origin && e.seq == seq {
			return e, true
		}
	}
	return entry{}, false
}
