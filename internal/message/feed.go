package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// FeedRequest requests the store's objects of one kind from another VM.
type FeedRequest struct {
	Kind uint8 `msgpack:"k"`
	// List requests all objects. Without it, the request is for the changes
	// after revision From of Era.
	List bool   `msgpack:"l,omitempty"`
	From uint64 `msgpack:"f,omitempty"`
	Era  uint64 `msgpack:"e,omitempty"`
	// Wait bounds how long the peer waits for a change before it replies.
	Wait time.Duration `msgpack:"w,omitempty"`
	// MaxAge makes the peer reply at once if its copy is older, so that the reader
	// can turn to another source.
	MaxAge time.Duration `msgpack:"m,omitempty"`
}

// Position returns the state of the store after which changes are requested.
func (r FeedRequest) Position() objectfeed.Position {
	return objectfeed.Position{Era: r.Era, Revision: r.From}
}

// FeedAnswer is the reply to a FeedRequest.
type FeedAnswer struct {
	// Ready is false when the VM has no listing yet or serves too many readers.
	Ready bool `msgpack:"r,omitempty"`
	// HistoryGone is true when the VM no longer holds the changes after From, so
	// that the reader must list again.
	HistoryGone bool               `msgpack:"g,omitempty"`
	Changes     objectfeed.Changes `msgpack:"c"`
	// Held is how long the VM had the request before it answered; 0 if not stated.
	Held time.Duration `msgpack:"h,omitempty"`
	// Packed holds the objects instead of Changes.Objects if they are large.
	Packed PackedObjects `msgpack:"z,omitempty"`
}
