package objectfeed

import "time"

// Freshness tracks the age of the copies of one VM by kind. An answer confirms the copy
// of its own kind only: the store may refuse another kind, or a watch of it may have been
// stalled for long. A Freshness is not safe for concurrent use.
type Freshness[K comparable] struct {
	// completeAt is the latest time at which the copy of each kind is known to have been
	// complete.
	completeAt map[K]time.Duration
}

// NewFreshness returns the state before the first answer.
func NewFreshness[K comparable]() *Freshness[K] {
	return &Freshness[K]{completeAt: make(map[K]time.Duration)}
}

// RecordAnswer records an answer of the store or of another VM of the given age.
func (f *Freshness[K]) RecordAnswer(now time.Duration, kind K, age time.Duration) {
	f.completeAt[kind] = max(f.completeAt[kind], now-age)
}

// Age returns the maximum age of the copy of a kind.
func (f *Freshness[K]) Age(now time.Duration, kind K) time.Duration {
	return now - f.completeAt[kind]
}
