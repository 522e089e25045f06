package peerfeed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// newTestHub returns a hub with a listing of n objects of kind 1 at revision 1.
func newTestHub(n int) *Hub {
	h := NewHub(func() time.Duration { return 0 })
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
	empty := NewHub(func() time.Duration { return 0 })
	answer, _ := empty.currentAnswer(message.FeedRequest{Kind: 1, List: true})
	assert.Assert(t, !answer.Ready)
	answer, _ = newTestHub(3).currentAnswer(message.FeedRequest{Kind: 1, List: true})
	assert.Assert(t, answer.Ready && answer.Changes.IsListing)
	assert.Equal(t, len(answer.Changes.Objects), 3)
}
