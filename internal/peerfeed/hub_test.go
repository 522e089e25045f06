package peerfeed

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/outage"
	"github.com/medlarswitch/medlarswitch/internal/panics"
)

// newTestHub returns a hub with a listing of n objects of kind 1 at revision 1.
func newTestHub(n int) *Hub {
	h := NewHub(func() time.Duration { return 0 }, panics.NewRecorder(metrics.NewRegistry()), nil)
	listing := objectfeed.Changes{Revision: 1, IsListing: true}
	for i := range n {
		listing.Objects = append(listing.Objects, objectfeed.Object{Name: fmt.Sprint("leaf-", i)})
	}
	h.Apply(1, listing)
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

// objectsOf returns the objects of an answer, packed or not.
func objectsOf(t *testing.T, answer message.FeedAnswer) []objectfeed.Object {
	t.Helper()
	if answer.Packed == nil {
		return answer.Changes.Objects
	}
	assert.Equal(t, len(answer.Changes.Objects), 0)
	objects, err := answer.Packed.Unpack()
	assert.NilError(t, err)
	return objects
}

// Load pattern: the configuration, one object of 100 kB, changes, and sixty VMs of the
// zone wait for it; a hundred VMs start and list all leaves. Guards against an aggregator
// that sends megabytes at once and lets its queries wait, and against a reader that gets
// the objects of another request.
func TestLargeAnswersArePacked(t *testing.T) {
	h := newTestHub(0)
	text := bytes.Repeat([]byte("service"), minPackedBytes)
	put := func(revision uint64, text []byte) {
		h.Apply(1, objectfeed.Changes{Revision: revision, Objects: []objectfeed.Object{{Name: fmt.Sprint("o-", revision), Text: text}}})
	}
	put(2, text)
	put(3, text)
	for _, row := range []struct {
		name    string
		request message.FeedRequest
		want    int
	}{
		{"listing", message.FeedRequest{Kind: 1, List: true}, 2},
		{"the same listing", message.FeedRequest{Kind: 1, List: true}, 2},
		{"one change", message.FeedRequest{Kind: 1, From: 2}, 1},
		{"the same change", message.FeedRequest{Kind: 1, From: 2}, 1},
		{"two changes", message.FeedRequest{Kind: 1, From: 1}, 2},
	} {
		answer := h.waitForChanges(nil, row.request)
		assert.Assert(t, len(answer.Packed) > 0 && len(answer.Packed) < len(text)/4, row.name)
		assert.Equal(t, len(objectsOf(t, answer)), row.want, row.name)
	}
	put(4, []byte("small"))
	answer := h.waitForChanges(nil, message.FeedRequest{Kind: 1, From: 3})
	assert.Assert(t, answer.Packed == nil)
	assert.Equal(t, len(objectsOf(t, answer)), 1)
	assert.Equal(t, len(objectsOf(t, h.waitForChanges(nil, message.FeedRequest{Kind: 1, List: true}))), 3)
}

// Load pattern: all seeds are partitioned from the store. Guards against a reader that
// waits for changes at one stale copy after the other.
func TestWatchOfAStaleCopyDoesNotWait(t *testing.T) {
	now := time.Duration(0)
	h := NewHub(func() time.Duration { return now }, panics.NewRecorder(metrics.NewRegistry()), nil)
	h.Apply(1, objectfeed.Changes{Revision: 1, IsListing: true})
	now = 2 * time.Second
	started := time.Now()
	answer := h.waitForChanges(nil, message.FeedRequest{Kind: 1, From: 1, Wait: maxWait, MaxAge: time.Second})
	assert.Equal(t, answer.Changes.Age, now)
	assert.Assert(t, time.Since(started) < maxWait/2)
}

// Load pattern: a seed loses the store while watches wait at it. Guards against a reader that
// learns only at the end of its wait that the copy has become too old, and against one that is
// answered although the store has confirmed the copy meanwhile.
func TestWatchEndsWhenTheCopyBecomesTooOld(t *testing.T) {
	const maxAge = 100 * time.Millisecond
	for confirmed, wait := range map[bool]time.Duration{false: 10 * maxAge, true: 3 * maxAge} {
		started := time.Now()
		h := NewHub(func() time.Duration { return time.Since(started) }, panics.NewRecorder(metrics.NewRegistry()), nil)
		h.Apply(1, objectfeed.Changes{Revision: 1, IsListing: true})
		if confirmed {
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(maxAge / 10):
						h.Apply(1, objectfeed.Changes{Revision: 1})
					}
				}
			}()
		}
		answer := h.waitForChanges(nil, message.FeedRequest{Kind: 1, From: 1, Wait: wait, MaxAge: maxAge})
		if confirmed {
			assert.Assert(t, time.Since(started) >= wait, "answered after %v", time.Since(started))
		} else {
			assert.Assert(t, answer.Changes.Age > maxAge && time.Since(started) < wait, "answered after %v", time.Since(started))
		}
	}
}

// Guards against a reader that takes leaves whose entries have lapsed in an outage of the store
// for ones that have left: the answer with the removals states the rest of the grace period.
func TestAnswersStateTheGracePeriod(t *testing.T) {
	now := 5 * time.Second
	h := NewHub(func() time.Duration { return now }, panics.NewRecorder(metrics.NewRegistry()), nil)
	h.SetWitness(graceUntil{6 * time.Second, &now})
	h.Apply(1, objectfeed.Changes{Revision: 1, IsListing: true})
	answer := h.waitForChanges(nil, message.FeedRequest{Kind: 1, List: true})
	assert.Equal(t, answer.Changes.Store.GraceLeft, time.Second)
	now = 7 * time.Second
	answer = h.waitForChanges(nil, message.FeedRequest{Kind: 1, From: 1})
	assert.Equal(t, answer.Changes.Store.GraceLeft, time.Duration(0))
}

// graceUntil states a grace period that ends at a time.
type graceUntil struct {
	until time.Duration
	now   *time.Duration
}

func (g graceUntil) StoreState() outage.State {
	return outage.State{GraceLeft: max(g.until-*g.now, 0)}
}

func (graceUntil) HeardStoreState(outage.State) {}
