package objectfeed

import "time"

// Object is an object of the store in the platform's encoding.
type Object struct {
	Name    string `msgpack:"n"`
	Deleted bool   `msgpack:"d,omitempty"`
	Text    []byte `msgpack:"t,omitempty"`
}

// Changes is what is known of a kind up to a revision.
type Changes struct {
	Revision uint64 `msgpack:"r"`
	// IsListing is true for a complete listing.
	IsListing bool     `msgpack:"a,omitempty"`
	Objects   []Object `msgpack:"o,omitempty"`
	// Age is how long ago the store said so; 0 when it comes from the store.
	Age time.Duration `msgpack:"g,omitempty"`
}
