package objectfeed

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/outage"
)

// Object is an object of the store. Text is in the platform's encoding.
type Object struct {
	Name    string `msgpack:"n"`
	Deleted bool   `msgpack:"d,omitempty"`
	Text    []byte `msgpack:"t,omitempty"`
}

// Changes holds all objects of a kind at a revision, or the changes up to it.
type Changes struct {
	// Era is the era of Revision; 0 means not stated.
	Era      uint64 `msgpack:"e,omitempty"`
	Revision uint64 `msgpack:"r"`
	// IsListing is true if Objects is a complete listing.
	IsListing bool     `msgpack:"a,omitempty"`
	Objects   []Object `msgpack:"o,omitempty"`
	// Age is how long ago the store last confirmed this state, at most.
	Age time.Duration `msgpack:"g,omitempty"`
	// Store is what the VM that answers states of the store's outages. It is zero if the
	// changes were read from the store directly.
	Store outage.State `msgpack:"s,omitempty"`
}

// Position returns the state of the store after the changes.
func (c Changes) Position() Position { return Position{Era: c.Era, Revision: c.Revision} }
