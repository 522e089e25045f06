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

// Guards against a fleet in which every VM reads the store, and against all VMs
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

// Guards against a VM that gets no changes because its seeds are down, unreachable or
// stale.
func TestStoreReplacesFailedSeeds(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds})
	for range seeds {
		s := next(t, c, 0)
		assert.Assert(t, !s.IsStore())
		c.MarkFailed(0, s)
	}
	assert.Assert(t, next(t, c, 0).IsStore())
	assert.Assert(t, !next(t, c, peerBackoff).IsStore())
}

// Load pattern: all seeds are partitioned from the store at once, while the other VMs
// can reach it. Guards against a VM that tries one stale seed after the other: on
// standard day trouble-3, a VM had an old configuration for 4.2 s.
func TestStoreFollowsASeedThatIsTooOld(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds})
	c.MarkStale(0, next(t, c, 0))
	assert.Assert(t, next(t, c, 0).IsStore())
	c.MarkFailed(0, Source{})
	assert.Assert(t, !next(t, c, 0).IsStore())
	assert.Assert(t, !next(t, c, peerBackoff).IsStore())
}

// Load pattern: the store refuses some VMs and serves the others. Guards against a
// seed that has no state although other seeds do, and against one that never returns
// to the store.
func TestSeedRefusedByTheStoreReadsFromAnotherSeed(t *testing.T) {
	c := New(Config{Self: seeds[0], Seeds: seeds})
	c.MarkFailed(0, next(t, c, 0))
	assert.Assert(t, !next(t, c, 0).IsStore())
	assert.Assert(t, next(t, c, storeBackoff).IsStore())
}

// Guards against a loop without a pause when all sources have failed.
func TestAllSourcesFailed(t *testing.T) {
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds})
	for range len(seeds) + 1 {
		c.MarkFailed(0, next(t, c, 0))
	}
	_, ok := c.Next(0)
	assert.Assert(t, !ok)
	assert.Assert(t, next(t, c, storeBackoff).IsStore())
}

// Load pattern: all VMs start at once. Guards against a burst of listings at the store
// while the seeds read it, and against a VM that waits forever.
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
