package quarantine

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxLosses bounds the losses that one entry remembers. A blocked fingerprint
// does not run, so that only attempts already under way add losses.
const maxLosses = 16

// loss is one crash-like loss of a fingerprint.
type loss struct {
	origin uint64
	seq    uint64
	until  time.Duration
}

// entry holds the losses of one fingerprint.
type entry struct {
	class  topology.ClassID
	losses []loss
	// blockedUntil is zero until the fingerprint is blocked.
	blockedUntil time.Duration
}

// until is when the last loss and the quarantine have ended.
func (e *entry) until() time.Duration {
	latest := e.blockedUntil
	for _, l := range e.losses {
		latest = max(latest, l.until)
	}
	return latest
}

func (e *entry) alive(now time.Duration) int {
	n := 0
	for _, l := range e.losses {
		if l.until > now {
			n++
		}
	}
	return n
}

// add stores a loss and reports whether it is new; an older one of the same
// origin is not. A full entry gives up the
// oldest loss that has ended; when none has, the new one is not stored.
func (e *entry) add(now time.Duration, in loss) bool {
	var ended *loss
	for i := range e.losses {
		l := &e.losses[i]
		if l.origin == in.origin && l.seq >= in.seq {
			return false
		}
		if l.until <= now && (ended == nil || l.until < ended.until) {
			ended = l
		}
	}
	switch {
	case len(e.losses) < maxLosses:
		e.losses = append(e.losses, in)
	case ended != nil:
		*ended = in
	default:
		return false
	}
	return true
}

// find returns the stored loss with the same origin and sequence number.
func (e *entry) find(origin, seq uint64) (loss, bool) {
	for _, l := range e.losses {
		if l.origin == origin && l.seq == seq {
			return l, true
		}
	}
	return loss{}, false
}
