package leafspeed

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// lifetime is how long a finding counts. Slow phases last some seconds, and a
	// leaf that is still slow is found again.
	lifetime = 3 * time.Second
	// maxFindings bounds a board: beyond it a fault is not one of single leaves.
	maxFindings = 2048
)

// Finding is that a leaf was slow.
type Finding struct {
	Leaf fleet.LeafID `msgpack:"l"`
	// Slowness is the time of its requests against the expected one.
	Slowness float32 `msgpack:"s"`
	// Age is how long ago that was. Clocks of VMs differ, so it is no time of day.
	Age time.Duration `msgpack:"a"`
}

// Cache holds the findings of all VMs that reported here. It is not safe for
// concurrent use.
type Cache struct{ findings map[fleet.LeafID]entry }

type entry struct {
	slowness float32
	// at is when the leaf was slow, learned when the board was told.
	at, learned time.Duration
}

// NewCache returns an empty board.
func NewCache() *Cache { return &Cache{findings: make(map[fleet.LeafID]entry)} }

// Add takes in findings. Of two about a leaf the newer one counts.
func (b *Cache) Add(now time.Duration, findings []Finding) {
	for _, f := range findings {
		at := now - max(f.Age, 0)
		known, ok := b.findings[f.Leaf]
		if now-at >= lifetime || ok && known.at >= at || !ok && len(b.findings) >= maxFindings {
			continue
		}
		b.findings[f.Leaf] = entry{slowness: f.Slowness, at: at, learned: now}
	}
}

// Since returns the findings that the board has learned after a time.
func (b *Cache) Since(now, since time.Duration) []Finding {
	var out []Finding
	for id, e := range b.findings {
		switch {
		case now-e.at >= lifetime:
			delete(b.findings, id)
		case e.learned > since:
			out = append(out, Finding{Leaf: id, Slowness: e.slowness, Age: now - e.at})
		}
	}
	return out
}
