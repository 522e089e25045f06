package fleet

import "time"

// LeafID identifies one registered leaf.
type LeafID string

// Zone names an availability zone.
type Zone string

// Leaf is a leaf as it registered itself.
type Leaf struct {
	ID      LeafID
	Service ServiceName
	Address string
	Zone    Zone
	// Slots is how many requests it runs at a time.
	Slots int
	// Leaving leaves get no new requests.
	Leaving bool
	// ColdFor is how much longer it stayed cold when it wrote this.
	ColdFor time.Duration
	// Started is when the leaf started, in Unix milliseconds of its own clock.
	// Another value under the same ID is a new run that knows nothing of the
	// one before.
	Started int64
}
