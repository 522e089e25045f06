package peerfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/panics"
)

// newTestHub returns a hub with a listing of n objects of kind 1 at revision 1.
func newTestHub(n int) *Hub {
	h := NewHub(func() time.Duration { return 0 }, panics.NewRecorder(metrics.NewRegistry()), nil)
	listing := objectfeed.Changes{Revision: 1, IsListing: true}
	for i := range n {
		listing.Objects = append(listing.Objects, objectfeed.Object{Name: fmt.Sprint("leaf-", i)})
	}
	h.ApplyFromStore(1, listing)
	return h
}

// Load pattern: a seed serves a hundred VMs, and each change wakes all their watches.
// Guards against a watch that costs as much as a listing.
func TestWatchDoesNotCopyTheListing(t *testing.T) {
	h := newTestHub(1350)
	watch := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			h.currentAnswer(message.FeedRequest{Kind: 1, From: 1})
		}
	})
	assert.Assert(t, watch.AllocedBytesPerOp() < 1024, "%d bytes for a watch without changes", watch.AllocedBytesPerOp())
}

// Guards against a listing that is served before the hub has one, and against one
// that lacks objects.
func TestListing(t *testing.T) {
	empty := NewHub(func() time.Duration { return 0 }, panics.NewRecorder(metrics.NewRegistry()), nil)
	answer, _ := empty.currentAnswer(message.FeedRequest{Kind: 1, List: true})
	assert.Assert(t, !answer.Ready)
	answer, _ = newTestHub(3).currentAnswer(message.FeedRequest{Kind: 1, List: true})
	assert.Assert(t, answer.Ready && answer.Changes.IsListing)
	assert.Equal(t, len(answer.Changes.Objects), 3)
}

// Guards against a reader that gets a listing without its objects or twice.
func TestListingIsPackedOnce(t *testing.T) {
	h := newTestHub(3)
	for range 2 {
		answer := h.waitForChanges(nil, message.FeedRequest{Kind: 1, List: true})
		assert.Equal(t, len(answer.Changes.Objects), 0)
		objects, err := answer.Packed.Unpack()
		assert.NilError(t, err)
		assert.Equal(t, len(objects), 3)
	}
	h.ApplyFromStore(1, objectfeed.Changes{Revision: 2, Objects: []objectfeed.Object{{Name: "leaf-3"}}})
	objects, err := h.waitForChanges(nil, message.FeedRequest{Kind: 1, List: true}).Packed.Unpack()
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 4)
}

// Load pattern: all seeds are partitioned from the store. Guards against a reader that
// waits for changes at one stale copy after the other.
func TestWatchOfAStaleCopyDoesNotWait(t *testing.T) {
	now := time.Duration(0)
	h := NewHub(func() time.Duration { return now }, panics.NewRecorder(metrics.NewRegistry()), nil)
	h.ApplyFromStore(1, objectfeed.Changes{Revision: 1, IsListing: true})
	now = 2 * time.Second
	started := time.Now()
	answer := h.waitForChanges(nil, message.FeedRequest{Kind: 1, From: 1, Wait: maxWait, MaxAge: time.Second})
	assert.Equal(t, answer.Changes.Age, now)
	assert.Assert(t, time.Since(started) < maxWait/2)
}
