package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Action is an output of Machine.Step.
type Action interface{ action() }

// SendRequest asks the shell to send a request to a peer. The message may be
// lost.
type SendRequest struct {
	To topology.VMID
	Request
}

// SendAck asks the shell to send the reply to a request. The message may be lost.
type SendAck struct {
	To topology.VMID
	Ack
}

func (SendRequest) action() {}
func (SendAck) action()     {}
