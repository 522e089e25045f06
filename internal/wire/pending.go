package wire

import "sync/atomic"

// Stages of an outgoing call. The move from queued to written is decided
// once, so that a cancelled call knows whether its frame may have left.
const (
	stageQueued int32 = iota
	stageWritten
	stageAbandoned
)

// outgoing is one frame on its way to the socket.
type outgoing struct {
	env   *Envelope
	stage atomic.Int32
}

// size is what a queued frame counts for in the send queue's bound.
func (o *outgoing) size() int64 { return int64(len(o.env.Body)) }

// claim moves the frame from queued to written and reports whether it may be
// written.
func (o *outgoing) claim() bool { return o.stage.CompareAndSwap(stageQueued, stageWritten) }

// abandon withdraws the frame and reports whether it was never written.
func (o *outgoing) abandon() bool { return o.stage.CompareAndSwap(stageQueued, stageAbandoned) }

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	out   *outgoing
	reply chan *Envelope // capacity 1
}
