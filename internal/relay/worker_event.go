package relay

import (
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// workerEvent is an input of a leafWorker.
type workerEvent interface{ workerEvent() }

// requestArrived brings a leaf request of an entry.
type requestArrived struct{ request *leafRequest }

// requestCancelled says that the entry no longer wants a reply.
type requestCancelled struct{ id uint64 }

// requestEnded brings the leaf's answer.
type requestEnded struct {
	id     uint64
	result leafResult
}

// slotFreed says that a request whose end at the leaf was unknown is gone, and
// frees its slot.
type slotFreed struct{ id uint64 }

// probeEnded brings the leaf's report or a failure.
type probeEnded struct {
	report *medlarv1.ReportResponse
	// closed is how many connections the leaf had closed when the probe began.
	closed uint64
	err    error
}

// connectionClosed says that the leaf has closed a connection, and how many it
// has closed so far.
type connectionClosed struct{ closed uint64 }

// accepting says whether the leaf's zone is in service.
type accepting struct{ inService bool }

// ranked says whether this relay is the one that serves the leaf now: rank 1,
// or rank 2 while rank 1 does not answer.
type ranked struct{ serving bool }

// retired says that this relay no longer serves the leaf: the worker ends after
// its last running request.
type retired struct{}

// leaseChanged says that the right to send to the cold leaf may have changed.
type leaseChanged struct{}

// peerFacts is what another relay says of the leaf.
type peerFacts struct {
	from  topology.VMID
	facts message.LeafStatus
}

func (requestArrived) workerEvent()   {}
func (requestCancelled) workerEvent() {}
func (requestEnded) workerEvent()     {}
func (slotFreed) workerEvent()        {}
func (probeEnded) workerEvent()       {}
func (connectionClosed) workerEvent() {}
func (accepting) workerEvent()        {}
func (ranked) workerEvent()           {}
func (retired) workerEvent()          {}
func (leaseChanged) workerEvent()     {}
func (peerFacts) workerEvent()        {}

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
