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

func (fakeLeases) Want(topology.LeafID, time.Duration, func()) {}
func (fakeLeases) Unwant(topology.LeafID)                      {}
func (fakeLeases) Held(topology.LeafID) bool                   { return true }
func (fakeLeases) Dispatch(topology.LeafID, bool) (time.Duration, bool) {
	return time.Hour, true
}
func (f fakeLeases) Ended(leaf topology.LeafID) { f.ended <- leaf }
func (fakeLeases) GoneBy(startBy, _ time.Duration) time.Duration {
	return startBy
}

func testWorker(l leases) *leafWorker {
	proc := telemetry.NewProcess("vm-1", "a", wire.RoleRelay)
	leaf := &topology.Leaf{ID: "leaf", Shard: "s", Index: "i", Zone: "a", Address: "127.0.0.1:1"}
	index := &topology.Index{ID: "i", Slots: 1, Connections: 25, RunLimit: time.Second}
	return newLeafWorker(proc, leaf, index, 2, l, func(message.LeafStatus) {})
}

// Guards against a lease that is blocked for ever, because the end of a request
// was to be told by a worker that has been retired meanwhile.
func TestLeaseLearnsOfTheEndAfterRetirement(t *testing.T) {
	l := fakeLeases{ended: make(chan topology.LeafID, 1)}
	w := testWorker(l)
	w.endedUnknown(context.Background(), 1, &leafRequest{startBy: w.proc.Now() + 20*time.Millisecond})
	assert.Assert(t, w.end())
	select {
	case leaf := <-l.ended:
		assert.Equal(t, leaf, topology.LeafID("leaf"))
	case <-time.After(5 * time.Second):
		t.Fatal("the lease did not learn of the end")
	}
}

// Guards against a request that is left in the inbox of a worker that has ended.
func TestRetiredWorkerTakesNoEvents(t *testing.T) {
	w := testWorker(fakeLeases{})
	assert.Assert(t, w.post(leaseChanged{}))
	assert.Assert(t, !w.end(), "ended with an event in the inbox")
	<-w.inbox
	assert.Assert(t, w.end())
	assert.Assert(t, !w.post(leaseChanged{}))
}
