package objectfeed

import "time"

// Freshness tracks the age of the copies of one VM by kind. The watch of one kind may
// fail while the watch of another still gets answers. An answer of the store
// therefore confirms only the kinds that are being watched there. A Freshness is not
// safe for concurrent use.
type Freshness[K comparable] struct {
	// lastStoreAnswer is when the store last answered a call of any kind.
	lastStoreAnswer time.Duration
	kinds           map[K]kindContact
}

// kindContact is the state of one kind.
type kindContact struct {
	// completeAt is the latest time at which the copy is known to have been complete.
	completeAt time.Duration
	// watching is true from an answer of the store for the kind until a failed call or
	// an answer of a peer. During this time a watch waits at the store, which would
	// answer at once if an object changed.
	watching bool
}

// NewFreshness returns the state before the first answer.
func NewFreshness[K comparable]() *Freshness[K] {
	return &Freshness[K]{kinds: make(map[K]kindContact)}
}

// RecordStoreAnswer records that the store answered a call for a kind.
func (f *Freshness[K]) RecordStoreAnswer(now time.Duration, kind K) {
	f.lastStoreAnswer = max(f.lastStoreAnswer, now)
	f.kinds[kind] = kindContact{completeAt: now, watching: true}
}

// RecordPeerAnswer records an answer of another VM, whose copy has the given age.
func (f *Freshness[K]) RecordPeerAnswer(now time.Duration, kind K, age time.Duration) {
	f.kinds[kind] = kindContact{completeAt: max(f.kinds[kind].completeAt, now-age)}
}

// RecordFailure records that a call for a kind failed.
func (f *Freshness[K]) RecordFailure(kind K) {
	state := f.kinds[kind]
	state.watching = false
	f.kinds[kind] = state
}

// Age returns the maximum age of the copy of a kind. While a watch of the kind waits
// at the store, any answer of the store confirms that the copy is current.
func (f *Freshness[K]) Age(now time.Duration, kind K) time.Duration {
	state := f.kinds[kind]
	if state.watching {
		return now - max(state.completeAt, f.lastStoreAnswer)
	}
	return now - state.completeAt
}
