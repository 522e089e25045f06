package leafspeed

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// findingLifetime is how long a finding is valid. Slow phases last a few seconds,
	// and a leaf that is still slow, or still states a limit, is reported again.
	findingLifetime = 3 * time.Second
	// maxFindings bounds the size of a cache. If more leaves are slow, the cause is
	// not in single leaves.
	maxFindings = 2048
)

// Cache holds the newest finding of each kind about each leaf. It is not safe for
// concurrent use.
type Cache struct{ findings map[key]entry }

type key struct {
	leaf fleet.LeafID
	kind Kind
}

type entry struct {
	finding Finding
	// observedAt is when the finding was made, receivedAt when it was added.
	observedAt, receivedAt time.Duration
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{findings: make(map[key]entry)} }

// Add stores findings that have not expired. Of two findings of a kind about a leaf it
// keeps the newer one.
func (c *Cache) Add(now time.Duration, findings []Finding) {
	for _, f := range findings {
		observedAt := now - max(f.Age, 0)
		k := key{f.Leaf, f.Kind}
		existing, ok := c.findings[k]
		if now-observedAt >= findingLifetime || ok && existing.observedAt >= observedAt || !ok && len(c.findings) >= maxFindings {
			continue
		}
		c.findings[k] = entry{finding: f, observedAt: observedAt, receivedAt: now}
	}
}

// Since returns the findings that were added after a time.
func (c *Cache) Since(now, since time.Duration) []Finding {
	var out []Finding
	for k, e := range c.findings {
		switch {
		case now-e.observedAt >= findingLifetime:
			delete(c.findings, k)
		case e.receivedAt > since:
			f := e.finding
			f.Age = now - e.observedAt
			out = append(out, f)
		}
	}
	return out
}
