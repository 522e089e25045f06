package fleet

import "time"

// LeafID identifies one registered leaf.
type LeafID string

// Zone names an availability zone.
type Zone string

// Leaf is the registration of a leaf.
type Leaf struct {
	ID      LeafID
	Service ServiceName
	Address string
	Zone    Zone
	// Slots is how many requests it runs concurrently.
	Slots int
	// Leaving is true for a leaf that is stopping and gets no new requests.
	Leaving bool
	// ColdFor is how much longer the leaf stays cold after it wrote the entry.
	ColdFor time.Duration
	// Started is when the leaf started, in Unix milliseconds of its own clock.
	// Another value under the same ID means that the leaf has restarted and lost
	// its state.
	Started int64
}
