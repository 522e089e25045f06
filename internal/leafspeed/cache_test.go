package leafspeed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Guards against findings that never expire because two caches keep exchanging them,
// and against an old finding that replaces a newer one.
func TestFindingsExpire(t *testing.T) {
	a, b := NewCache(), NewCache()
	a.Add(0, []Finding{{Leaf: "x", Slowness: 8}})
	for now := time.Duration(0); now < 2*findingLifetime; now += 100 * time.Millisecond {
		b.Add(now, a.Since(now, -1))
		a.Add(now, b.Since(now, -1))
	}
	assert.Equal(t, len(a.Since(2*findingLifetime, -1))+len(b.Since(2*findingLifetime, -1)), 0)
	a.Add(10*time.Second, []Finding{{Leaf: "x", Slowness: 2}})
	a.Add(10*time.Second, []Finding{{Leaf: "x", Slowness: 8, Age: time.Second}})
	assert.Equal(t, a.Since(10*time.Second, -1)[0].Slowness, float32(2))
}

// Guards against a reader that misses findings added since its last call, or that
// gets all findings each time.
func TestSinceReturnsNewFindings(t *testing.T) {
	b := NewCache()
	b.Add(time.Second, []Finding{{Leaf: "x", Slowness: 8, Age: 500 * time.Millisecond}})
	assert.Equal(t, len(b.Since(time.Second, 0)), 1)
	assert.Equal(t, len(b.Since(time.Second, time.Second)), 0)
	b.Add(2*time.Second, []Finding{{Leaf: "y", Slowness: 4, Age: 1500 * time.Millisecond}})
	assert.Equal(t, len(b.Since(2*time.Second, time.Second)), 1)
}

// Guards against memory use that grows with the number of leaves ever reported.
func TestCacheIsBounded(t *testing.T) {
	b := NewCache()
	for i := range 3 * maxFindings {
		b.Add(0, []Finding{{Leaf: fleet.LeafID(fmt.Sprint(i)), Slowness: 3}})
	}
	assert.Equal(t, len(b.Since(0, -1)), maxFindings)
}
