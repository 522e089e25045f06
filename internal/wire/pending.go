package wire

import "sync/atomic"

// Stages of an outgoing frame. A frame leaves stageQueued once, atomically, so
// that a cancelled call knows whether its frame may have been sent.
const (
	stageQueued int32 = iota
	stageWritten
	stageAbandoned
)

// outgoing is a frame to be written to the connection.
type outgoing struct {
	env   *Envelope
	stage atomic.Int32
}

// size is the number of bytes that a queued frame counts toward maxQueuedBytes.
func (o *outgoing) size() int64 { return int64(len(o.env.Body)) }

// claim marks a queued frame as written. It returns false if the frame was
// abandoned and must not be written.
func (o *outgoing) claim() bool { return o.stage.CompareAndSwap(stageQueued, stageWritten) }

// abandon marks a queued frame as abandoned. It returns false if the frame may
// already have been written.
func (o *outgoing) abandon() bool { return o.stage.CompareAndSwap(stageQueued, stageAbandoned) }

// pendingCall is a call that is waiting for its reply.
type pendingCall struct {
	out   *outgoing
	reply chan *Envelope // capacity 1
}
