package relay

import (
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// workerEvent is an input of a leafWorker.
type workerEvent interface{ workerEvent() }

// requestReceived brings a leaf request of an entry.
type requestReceived struct{ request *leafRequest }

// requestCancelled says that the entry no longer wants a reply.
type requestCancelled struct{ id uint64 }

// requestCompleted brings the leaf's answer.
type requestCompleted struct {
	id     uint64
	result leafResult
}

// slotReleased says that a request whose end at the leaf was unknown is gone, and
// frees its slot.
type slotReleased struct{ id uint64 }

// probeCompleted brings the leaf's report or a failure.
type probeCompleted struct {
	report *medlarv1.ReportResponse
	// closed is how many connections the leaf had closed when the probe began.
	closed uint64
	err    error
}

// connectionClosed says that the leaf has closed a connection, and how many it
// has closed so far.
type connectionClosed struct{ closed uint64 }

// zoneState says whether the leaf's zone is in service.
type zoneState struct{ inService bool }

// servingState says whether this relay is the one that serves the leaf now: rank 1,
// or rank 2 while rank 1 does not answer.
type servingState struct{ serving bool }

// retired says that this relay no longer serves the leaf: the worker ends after
// its last running request.
type retired struct{}

// leaseChanged says that the right to send to the cold leaf may have changed.
type leaseChanged struct{}

// peerLeafState is what another relay says of the leaf.
type peerLeafState struct {
	from  topology.VMID
	state message.LeafFacts
}

func (requestReceived) workerEvent()  {}
func (requestCancelled) workerEvent() {}
func (requestCompleted) workerEvent() {}
func (slotReleased) workerEvent()     {}
func (probeCompleted) workerEvent()   {}
func (connectionClosed) workerEvent() {}
func (zoneState) workerEvent()        {}
func (servingState) workerEvent()     {}
func (retired) workerEvent()          {}
func (leaseChanged) workerEvent()     {}
func (peerLeafState) workerEvent()    {}

// leafRequest is a request on its way through the relay.
type leafRequest struct {
	id      uint64
	message message.LeafRequest
	// shard and snapshot are those that the query pinned.
	shard    topology.ShardID
	snapshot topology.Snapshot
	// startBy and deadline are on the relay's monotonic clock.
	startBy  time.Duration
	deadline time.Duration
	// answered is true when the entry has its answer although the request runs.
	answered bool
	// answer sends the reply to the entry; it is called exactly once.
	answer func(*message.LeafReply)
}
