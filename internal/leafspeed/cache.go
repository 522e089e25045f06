package leafspeed

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// findingLifetime is how long a finding is valid. Slow phases last a few seconds,
	// and a leaf that is still slow is reported again.
	findingLifetime = 3 * time.Second
	// maxFindings bounds the size of a cache. If more leaves are slow, the cause is
	// not in single leaves.
	maxFindings = 2048
)

// Finding reports that a leaf was slow.
type Finding struct {
	Leaf fleet.LeafID `msgpack:"l"`
	// Slowness is the time of its requests divided by the expected time.
	Slowness float32 `msgpack:"s"`
	// Age is how long ago the leaf was slow. It is a duration because the clocks of
	// VMs differ.
	Age time.Duration `msgpack:"a"`
}

// Cache holds the newest finding about each leaf. It is not safe for concurrent
// use.
type Cache struct{ findings map[fleet.LeafID]entry }

type entry struct {
	slowness float32
	// observedAt is when the leaf was slow, receivedAt when the finding was added.
	observedAt, receivedAt time.Duration
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{findings: make(map[fleet.LeafID]entry)} }

// Add stores findings that have not expired. Of two findings about a leaf it keeps
// the newer one.
func (c *Cache) Add(now time.Duration, findings []Finding) {
	for _, f := range findings {
		observedAt := now - max(f.Age, 0)
		existing, ok := c.findings[f.Leaf]
		if now-observedAt >= findingLifetime || ok && existing.observedAt >= observedAt || !ok && len(c.findings) >= maxFindings {
			continue
		}
		c.findings[f.Leaf] = entry{slowness: f.Slowness, observedAt: observedAt, receivedAt: now}
	}
}

// Since returns the findings that were added after a time.
func (c *Cache) Since(now, since time.Duration) []Finding {
	var out []Finding
	for id, e := range c.findings {
		switch {
		case now-e.observedAt >= findingLifetime:
			delete(c.findings, id)
		case e.receivedAt > since:
			out = append(out, Finding{Leaf: id, Slowness: e.slowness, Age: now - e.observedAt})
		}
	}
	return out
}
