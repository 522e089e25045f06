package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Action is an output of Machine.Step.
type Action interface{ action() }

// SendRequest sends a request to a peer. It may be lost.
type SendRequest struct {
	To topology.VMID
	Request
}

// SendAck answers a request. It may be lost.
type SendAck struct {
	To topology.VMID
	Ack
}

func (SendRequest) action() {}
func (SendAck) action()     {}
