package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

func leafRemoved(event Event) Event { return LeafRemoved{event.(LeafSet).Leaf.ID} }

// Load pattern: many leaves leave without a word while the store answers, at once or in a
// series. Guards against their number being taken for a sign of an outage of the store, after
// which they stay in use.
func TestRemovalOfManyLeavesIsNoOutage(t *testing.T) {
	const now = 10 * time.Second
	for name, steps := range map[string][]int{"a third": {3}, "all": {9}, "a series": {2, 3, 2, 1}, "one by one": {1, 1, 1, 1}} {
		for _, listed := range []bool{false, true} {
			d, left := New(), otherLeaves()
			d.StoreAnswered(now - 300*time.Millisecond)
			d.ApplyListing(now-300*time.Millisecond, KindLeaves, left)
			for i, n := range steps {
				at := now + time.Duration(i)*300*time.Millisecond
				d.StoreAnswered(at)
				if listed {
					d.ApplyListing(at, KindLeaves, left[n:])
				} else {
					var removed []Event
					for _, event := range left[:n] {
						removed = append(removed, leafRemoved(event))
					}
					d.ApplyChanges(at, removed)
				}
				left = left[n:]
				assert.Equal(t, len(d.Leaves()), len(left), "%s, listed %v, step %d", name, listed, i)
			}
		}
	}
}

// Guards against requests to a leaf that has left, since a single call was refused when its
// entry was removed: a suspected outage keeps it only as long as it serves on in any case.
func TestSuspectedOutageKeepsALeafOnlyWhileItServes(t *testing.T) {
	d := New()
	d.StoreAnswered(9 * time.Second)
	d.ApplyListing(9*time.Second, KindLeaves, append(otherLeaves(), leafSet("a")))
	d.LeavesComplete(9 * time.Second)
	d.StoreFailed(10 * time.Second)
	d.StoreAnswered(10500 * time.Millisecond)
	d.ApplyChanges(10500*time.Millisecond, []Event{LeafRemoved{"a"}})
	d.LeavesComplete(10500 * time.Millisecond)
	inUse := func() bool { _, ok := d.Leaves()[fleet.LeafID("a")]; return ok }
	assert.Assert(t, inUse())
	d.Expire(9*time.Second + maxSuspectedUse - 1)
	assert.Assert(t, inUse())
	d.Expire(9*time.Second + maxSuspectedUse)
	assert.Assert(t, !inUse())
}
