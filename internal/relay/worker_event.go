package relay

import (
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// workerEvent is an input of a leafWorker.
type workerEvent interface{ workerEvent() }

// requestReceived passes a leaf request of an entry to the worker.
type requestReceived struct{ request *leafRequest }

// requestCancelled reports that the entry has cancelled a request.
type requestCancelled struct{ id uint64 }

// requestCompleted reports the result of a dispatched request.
type requestCompleted struct {
	id     uint64
	result leafResult
}

// slotReleased reports that a request whose outcome was unknown can no longer run
// in the leaf, so that its slot is released.
type slotReleased struct{ id uint64 }

// probeCompleted reports the result of a probe: the leaf's report or an error.
type probeCompleted struct {
	report *medlarv1.ReportResponse
	// closed is the number of connections that the leaf had closed when the probe
	// began.
	closed uint64
	err    error
}

// connectionClosed reports that the leaf has closed a connection. closed is the
// number of connections that it has closed so far.
type connectionClosed struct{ closed uint64 }

// zoneState reports whether the leaf's zone is in service.
type zoneState struct{ inService bool }

// servingState reports whether this relay serves the leaf now: as rank 1, or as
// rank 2 while rank 1 is draining or there is no connection to it.
type servingState struct{ serving bool }

// retired reports that this relay no longer owns the leaf. The worker stops after
// its last running request.
type retired struct{}

// leaseChanged reports that the lease of the leaf was gained or lost.
type leaseChanged struct{}

// peerLeafStatus passes the leaf's status that another relay sent.
type peerLeafStatus struct {
	from   topology.VMID
	status message.LeafStatus
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
func (peerLeafStatus) workerEvent()   {}

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
	// answered is true if the entry has been answered while the request still
	// runs.
	answered bool
	// answer sends the reply to the entry; it is called exactly once.
	answer func(*message.LeafReply)
}
