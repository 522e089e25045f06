package objectfeed

import "time"

// Freshness knows how old the copies of one VM are, kind by kind. The watch of
// one kind may fail while that of another still gets answers, so that contact
// with the store says nothing of a kind that is not watched there. It is not
// safe for concurrent use.
type Freshness[K comparable] struct {
	// contact is when the store last answered a call of any kind.
	contact time.Duration
	kinds   map[K]kindContact
}

// kindContact is what is known of one kind.
type kindContact struct {
	// heard is the latest time for which the copy is known to be complete.
	heard time.Duration
	// watched is true while the store's last answer for the kind is followed by a
	// watch at the store. Such a watch waits for long, and a change would end it.
	watched bool
}

// NewFreshness returns what is known before the first answer.
func NewFreshness[K comparable]() *Freshness[K] {
	return &Freshness[K]{kinds: make(map[K]kindContact)}
}

// RecordStoreAnswer takes in that the store answered a call for a kind.
func (f *Freshness[K]) RecordStoreAnswer(now time.Duration, kind K) {
	f.contact = max(f.contact, now)
	f.kinds[kind] = kindContact{heard: now, watched: true}
}

// RecordPeerAnswer takes in the answer of another VM whose copy has an age.
func (f *Freshness[K]) RecordPeerAnswer(now time.Duration, kind K, age time.Duration) {
	f.kinds[kind] = kindContact{heard: max(f.kinds[kind].heard, now-age)}
}

// RecordFailure takes in that a call for a kind failed.
func (f *Freshness[K]) RecordFailure(kind K) {
	state := f.kinds[kind]
	state.watched = false
	f.kinds[kind] = state
}

// Age returns how old the copy of a kind may be. While a watch waits at the
// store, any answer of the store confirms it.
func (f *Freshness[K]) Age(now time.Duration, kind K) time.Duration {
	state := f.kinds[kind]
	if state.watched {
		return now - max(state.heard, f.contact)
	}
	return now - state.heard
}
