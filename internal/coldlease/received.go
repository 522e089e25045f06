package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// RequestReceived reports a request from a peer. Boot is the sender's boot ID.
type RequestReceived struct {
	From topology.VMID
	Boot topology.BootID
	Request
}

// AckReceived reports an acknowledgement from a peer. Boot is the sender's boot
// ID.
type AckReceived struct {
	From topology.VMID
	Boot topology.BootID
	Ack
}

func (RequestReceived) event() {}
func (AckReceived) event()     {}
