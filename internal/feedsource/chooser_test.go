package feedsource

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

var seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}

func next(t *testing.T, c *Chooser, now time.Duration) Source {
	t.Helper()
	s, ok := c.Next(now, directory.KindLeaves)
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
	c, now := New(Config{Self: "10.0.0.9:1", Seeds: seeds}), restartWait
	for range seeds {
		s := next(t, c, now)
		assert.Assert(t, !s.IsStore())
		c.MarkFailed(now, s)
	}
	assert.Assert(t, next(t, c, now).IsStore())
	assert.Assert(t, !next(t, c, now+peerBackoff).IsStore())
}

// Load pattern: all seeds are partitioned from the store at once, while the other VMs
// can reach it. Guards against a VM that tries one stale seed after the other: on
// standard day trouble-3, a VM had an old configuration for 4.2 s.
func TestStoreFollowsASeedThatIsTooOld(t *testing.T) {
	c, now := New(Config{Self: "10.0.0.9:1", Seeds: seeds}), restartWait
	c.MarkStale(now, directory.KindLeaves, next(t, c, now))
	assert.Assert(t, next(t, c, now).IsStore())
	c.MarkFailed(now, Source{})
	assert.Assert(t, !next(t, c, now).IsStore())
	assert.Assert(t, !next(t, c, now+peerBackoff).IsStore())
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
	c, now := New(Config{Self: "10.0.0.9:1", Seeds: seeds}), restartWait
	for range len(seeds) + 1 {
		c.MarkFailed(now, next(t, c, now))
	}
	_, ok := c.Next(now, directory.KindLeaves)
	assert.Assert(t, !ok)
	assert.Assert(t, next(t, c, now+storeBackoff).IsStore())
}

// Load pattern: all VMs start at once, and the seeds accept no connections yet. Guards
// against a burst of listings at the store while the seeds read it, against a VM that
// waits forever, and against one that tries the seeds in a loop without a pause: on 295
// VMs, such a loop used all CPU time of the first second.
func TestStartWaitsForTheSeedsWithPauses(t *testing.T) {
	for name, row := range map[string]struct {
		firstStart bool
		wait       time.Duration
	}{"first start": {true, firstStartWait}, "restart": {false, restartWait}} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Self: "10.0.0.9:1", Seeds: seeds, FirstStart: row.firstStart})
			attempts, gap, last := 0, time.Duration(0), time.Duration(0)
			for now := time.Duration(0); now < row.wait; now += time.Millisecond {
				for {
					s, ok := c.Next(now, directory.KindLeaves)
					if !ok {
						break
					}
					assert.Assert(t, !s.IsStore())
					attempts++
					assert.Assert(t, attempts <= 1000, "no pause at %v", now)
					gap, last = max(gap, now-last), now
					c.MarkFailed(now, s)
				}
			}
			assert.Assert(t, attempts <= len(seeds)*int(row.wait/startBackoff), "%d attempts", attempts)
			assert.Assert(t, gap <= startBackoff, "%v without an attempt", gap)
			assert.Assert(t, next(t, c, row.wait).IsStore())
			assert.Assert(t, next(t, New(Config{Self: seeds[0], Seeds: seeds, FirstStart: row.firstStart}), 0).IsStore())
		})
	}
}

// Load pattern: hundreds of VMs in zones without a seed. Guards against each change
// crossing between zones once for each VM, and against a VM that has no source when
// the VMs near it fail.
func TestVMsOfTheZoneComeBeforeTheSeeds(t *testing.T) {
	near := []string{"10.4.0.1:1", "10.4.0.2:1", seeds[0]}
	c, now := New(Config{Self: "10.4.0.9:1", Seeds: seeds}), restartWait
	c.SetNear(near)
	var order []string
	for range 5 {
		s := next(t, c, now)
		order = append(order, s.Peer)
		c.MarkFailed(now, s)
	}
	slices.Sort(order[:3])
	slices.Sort(near)
	slices.Sort(order[3:])
	assert.DeepEqual(t, order, append(near, seeds[1], seeds[2]))
	assert.Assert(t, next(t, c, now).IsStore())
	seed := New(Config{Self: seeds[1], Seeds: seeds})
	seed.SetNear(near)
	assert.Assert(t, next(t, seed, 0).IsStore())
}

// Load pattern: the VMs of a zone lose their seeds, or all seeds the store. Guards
// against a VM that tries one stale copy of its zone after the other, each of which
// takes the time of a call.
func TestSeedsFollowAStaleVMOfTheZone(t *testing.T) {
	c, now := New(Config{Self: "10.4.0.9:1", Seeds: seeds}), restartWait
	c.SetNear([]string{"10.4.0.1:1", "10.4.0.2:1"})
	c.MarkStale(now, directory.KindLeaves, next(t, c, now))
	seed := next(t, c, now)
	assert.Assert(t, slices.Contains(seeds, seed.Peer))
	c.MarkStale(now, directory.KindLeaves, seed)
	assert.Assert(t, next(t, c, now).IsStore())
	assert.Assert(t, !slices.Contains(seeds, next(t, c, now+peerBackoff).Peer))
}

// Load pattern: the store is away, and the only seed has copies that are far too old. Guards
// against a VM that has started and gets one kind of object only: each kind that finds the
// seed stale kept the others from reading there.
func TestEachKindIsReadFromAStalePeer(t *testing.T) {
	const until = 10 * time.Second
	c := New(Config{Self: "10.0.0.9:1", Seeds: seeds[:1]})
	reads := map[directory.Kind]int{}
	for now := time.Duration(0); now < until; now += 10 * time.Millisecond {
		for _, kind := range directory.Kinds {
			s, ok := c.Next(now, kind)
			switch {
			case !ok:
			case s.IsStore():
				c.MarkFailed(now, s)
			default:
				reads[kind]++
				c.MarkAnswered(s)
				c.MarkStale(now, kind, s)
			}
		}
	}
	for _, kind := range directory.Kinds {
		assert.Assert(t, reads[kind] >= int((until-restartWait)/peerBackoff), "%v: %d reads", kind, reads[kind])
	}
}

// Guards against a stale copy that counts as fresh because the peer's copy of another kind is.
func TestAFreshKindHidesNoStaleOne(t *testing.T) {
	c, now := New(Config{Self: "10.0.0.9:1", Seeds: seeds}), restartWait
	peer := next(t, c, now)
	c.MarkStale(now, directory.KindLeaves, peer)
	c.MarkFresh(directory.KindEvacuations, peer)
	assert.Assert(t, next(t, c, now).IsStore())
	s, ok := c.Next(now, directory.KindEvacuations)
	assert.Assert(t, ok && s == peer)
	c.MarkFresh(directory.KindLeaves, peer)
	s, ok = c.Next(now+peerBackoff, directory.KindLeaves)
	assert.Assert(t, ok && s == peer)
}

// Load pattern: seeds fall silent one after the other. Guards against a VM that asks a source
// which has failed or is stale while another one is late, and against calls to the store.
func TestAlternativesToALateSource(t *testing.T) {
	c, now := New(Config{Self: "10.0.0.9:1", Seeds: seeds}), restartWait
	first := next(t, c, now)
	others := c.Alternatives(now, directory.KindLeaves, first, len(seeds))
	assert.Equal(t, len(others), 2)
	assert.Assert(t, !slices.Contains(others, first) && !slices.Contains(others, Source{}))
	assert.DeepEqual(t, c.Alternatives(now, directory.KindLeaves, first, 1), others[:1])
	c.MarkFailed(now, others[0])
	c.MarkStale(now, directory.KindLeaves, others[1])
	assert.Equal(t, len(c.Alternatives(now, directory.KindLeaves, first, 2)), 0)
	assert.DeepEqual(t, c.Alternatives(now, directory.KindEvacuations, first, 2), others[1:])
	assert.Equal(t, len(c.Alternatives(now+peerBackoff, directory.KindLeaves, first, 2)), 2)
}
