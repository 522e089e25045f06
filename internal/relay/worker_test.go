package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// fakeLeases holds every lease and reports what ended.
type fakeLeases struct{ ended chan topology.LeafID }

func (fakeLeases) Acquire(topology.LeafID, time.Duration, func()) {}
func (fakeLeases) Release(topology.LeafID)                        {}
func (fakeLeases) Held(topology.LeafID) bool                      { return true }
func (fakeLeases) AuthorizeDispatch(topology.LeafID, bool) (time.Duration, bool) {
	return time.Hour, true
}
func (f fakeLeases) LeafRequestFinished(leaf topology.LeafID) { f.ended <- leaf }
func (fakeLeases) FinishedBy(startBy, _ time.Duration) time.Duration {
	return startBy
}

func testWorker(l coldLeases) *leafWorker {
	proc := telemetry.NewProcess("vm-1", "a", wire.RoleRelay)
	leaf := &topology.Leaf{ID: "leaf", Shard: "s", Index: "i", Zone: "a", Address: "127.0.0.1:1"}
	index := &topology.Index{ID: "i", Slots: 1, Connections: 25, RunLimit: time.Second}
	return newLeafWorker(proc, leaf, index, 2, l, func(message.LeafFacts) {})
}

// Guards against a lease that is blocked for ever, because the end of a request
// was to be told by a worker that has been retired meanwhile.
func TestLeaseIsReleasedAfterWorkerStopped(t *testing.T) {
	l := fakeLeases{ended: make(chan topology.LeafID, 1)}
	w := testWorker(l)
	w.handleUnknownOutcome(context.Background(), 1, &leafRequest{startBy: w.proc.Now() + 20*time.Millisecond})
	assert.Assert(t, w.tryStop())
	select {
	case leaf := <-l.ended:
		assert.Equal(t, leaf, topology.LeafID("leaf"))
	case <-time.After(5 * time.Second):
		t.Fatal("the lease did not learn of the end")
	}
}

// Guards against a request that is left in the inbox of a worker that has ended.
func TestStoppedWorkerRejectsEvents(t *testing.T) {
	w := testWorker(fakeLeases{})
	assert.Assert(t, w.post(leaseChanged{}))
	assert.Assert(t, !w.tryStop(), "ended with an event in the inbox")
	<-w.inbox
	assert.Assert(t, w.tryStop())
	assert.Assert(t, !w.post(leaseChanged{}))
}
