package feedsource

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

func next(t *testing.T, c *Chooser, now time.Duration) Source {
	t.Helper()
	s, ok := c.Next(now)
	assert.Assert(t, ok)
	return s
}

// Guards against a fleet of which every VM reads the store, and against all VMs
// reading from the same seed.
func TestOnlySeedsReadTheStore(t *testing.T) {
	readers := map[Source]int{}
	for i := range 75 {
		self := seeds[0][:7] + string(rune('A'+i)) + ":1"
		readers[next(t, New(Config{Self: self, Seeds: seeds}), 0)]++
	}
	assert.Equal(t, readers[Source{}], 0)
	for _, seed := range seeds {
		assert.Assert(t, readers[Source{seed}] > 10, "%v", readers)
	}
	assert.Assert(t, next(t, New(Config{Self: seeds[1], Seeds: seeds}), 0).IsStore())
	assert.Assert(t, next(t, New(Config{Self: "10.0.0.9:1"}), 0).IsStore())
}

// Guards against a VM without news because its seeds are down, cut off or stale.
func TestStoreTakesThePlaceOfSeeds(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds})
	for range seeds {
		s := next(t, c, 0)
		assert.Assert(t, !s.IsStore())
		c.MarkFailed(0, s)
	}
	assert.Assert(t, next(t, c, 0).IsStore())
	assert.Assert(t, !next(t, c, peerRest).IsStore())
}

// Load pattern: all seeds are cut off at once, while the other VMs reach the
// store (standard day trouble-3: a VM had an old configuration for 4.2 s). Guards
// against a VM that asks one cut-off seed after the other.
func TestStoreFollowsASeedThatIsTooOld(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds})
	c.MarkStale(0, next(t, c, 0))
	assert.Assert(t, next(t, c, 0).IsStore())
	c.MarkFailed(0, Source{})
	assert.Assert(t, !next(t, c, 0).IsStore())
	assert.Assert(t, !next(t, c, peerRest).IsStore())
}

// Load pattern: the store turns some VMs away and serves the others. Guards
// against a seed that knows nothing although other seeds do, and against one
// that never returns to the store.
func TestSeedThatTheStoreTurnsAwayReadsFromAnother(t *testing.T) {
	c := New(Config{Self: seeds[0], Seeds: seeds})
	c.MarkFailed(0, next(t, c, 0))
	assert.Assert(t, !next(t, c, 0).IsStore())
	assert.Assert(t, next(t, c, storeRest).IsStore())
}

// Guards against a loop without a pause when no source gives anything.
func TestNoSourceIsLeft(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds})
	for range len(seeds) + 1 {
		c.MarkFailed(0, next(t, c, 0))
	}
	_, ok := c.Next(0)
	assert.Assert(t, !ok)
	assert.Assert(t, next(t, c, storeRest).IsStore())
}

// Load pattern: all VMs start at once. Guards against a storm of listings at the
// store while the seeds read it, and against a VM that waits for good.
func TestFirstStartWaitsForTheSeeds(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds, FirstStart: true})
	for range 10 {
		s := next(t, c, time.Millisecond)
		assert.Assert(t, !s.IsStore())
		c.MarkFailed(time.Millisecond, s)
	}
	assert.Assert(t, next(t, c, firstStartWait).IsStore())
	assert.Assert(t, next(t, New(Config{Self: seeds[0], Seeds: seeds, FirstStart: true}), 0).IsStore())
}
