package quarantine

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxLosses bounds the losses of one fingerprint. A blocked fingerprint is not
// dispatched, so only attempts that were already running add further losses.
const maxLosses = 16

// loss is one crash-like loss of a fingerprint.
type loss struct {
	origin    uint64
	seq       uint64
	expiresAt time.Duration
}

// record holds the losses of one fingerprint.
type record struct {
	class  topology.ClassID
	losses []loss
	// blockedUntil is zero until the fingerprint is blocked.
	blockedUntil time.Duration
}

// expiresAt returns when the last loss has expired and the fingerprint is no
// longer blocked.
func (rec *record) expiresAt() time.Duration {
	latest := rec.blockedUntil
	for _, l := range rec.losses {
		latest = max(latest, l.expiresAt)
	}
	return latest
}

func (rec *record) countActive(now time.Duration) int {
	n := 0
	for _, l := range rec.losses {
		if l.expiresAt > now {
			n++
		}
	}
	return n
}

// add stores a loss and reports whether it is new. It ignores a loss that is
// not newer than a stored one of the same origin. A full record replaces the
// loss that expired earliest; if none has expired, the new loss is not stored.
func (rec *record) add(now time.Duration, in loss) bool {
	var expired *loss
	for i := range rec.losses {
		l := &rec.losses[i]
		if l.origin == in.origin && l.seq >= in.seq {
			return false
		}
		if l.expiresAt <= now && (expired == nil || l.expiresAt < expired.expiresAt) {
			expired = l
		}
	}
	switch {
	case len(rec.losses) < maxLosses:
		rec.losses = append(rec.losses, in)
	case expired != nil:
		*expired = in
	default:
		return false
	}
	return true
}

// find returns the stored loss with the given origin and sequence number.
func (rec *record) find(origin, seq uint64) (loss, bool) {
	for _, l := range rec.losses {
		if l.origin == origin && l.seq == seq {
			return l, true
		}
	}
	return loss{}, false
}
