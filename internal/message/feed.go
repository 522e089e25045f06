package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// FeedRequest asks another VM for the store's objects of a kind.
type FeedRequest struct {
	Kind uint8 `msgpack:"k"`
	// List asks for all objects, else for what changed after From.
	List bool   `msgpack:"l,omitempty"`
	From uint64 `msgpack:"f,omitempty"`
	// Wait is how long to wait for a change.
	Wait time.Duration `msgpack:"w,omitempty"`
}

// FeedAnswer answers a FeedRequest.
type FeedAnswer struct {
	// Ready is false when the VM has nothing to give.
	Ready bool `msgpack:"r,omitempty"`
	// HistoryGone is true when the reader must list anew.
	HistoryGone bool               `msgpack:"g,omitempty"`
	Changes     objectfeed.Changes `msgpack:"c"`
}
