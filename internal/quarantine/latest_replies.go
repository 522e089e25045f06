package quarantine

import "time"

// reply is a reply to a request with a fingerprint.
type reply struct {
	fingerprint uint64
	at          time.Duration
}

// latestReplies holds the latest reply to requests of a class, and the latest to one with
// another fingerprint.
type latestReplies struct{ last, other reply }

// with returns the state after a reply.
func (l latestReplies) with(now time.Duration, fingerprint uint64) latestReplies {
	if fingerprint != l.last.fingerprint {
		l.other = l.last
	}
	l.last = reply{fingerprint: fingerprint, at: now}
	return l
}

// otherSince reports whether a request with another fingerprint has got a reply since a
// time.
func (l latestReplies) otherSince(fingerprint uint64, since time.Duration) bool {
	latest := l.last
	if latest.fingerprint == fingerprint {
		latest = l.other
	}
	return latest.at > 0 && latest.at >= since
}
