package membership

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Event is an input of View.Step.
type Event interface{ event() }

// Tick makes Step check for suspects. The agent sends one at least every 250 ms.
type Tick struct{}

// ListReceived reports a version of the platform's list.
type ListReceived struct{ View topology.VMView }

// MessageReceived reports a message of any kind from a VM.
type MessageReceived struct {
	VM         topology.VMID
	Boot       topology.BootID
	Generation uint64
}

func (Tick) event()            {}
func (ListReceived) event()    {}
func (MessageReceived) event() {}

// Action is a change of the view.
type Action interface{ action() }

// Joined reports a VM that is new in the list, whose entry in the list changed,
// or that was suspect and has sent a message again.
type Joined struct{ VM topology.VM }

// Left reports a VM that the list no longer names, or that has become suspect.
type Left struct {
	VM topology.VMID
	// Removed is true if the list no longer names the VM, and false if the VM is
	// only suspect.
	Removed bool
}

// Rebooted reports a VM whose boot ID has changed.
type Rebooted struct {
	VM   topology.VMID
	Boot topology.BootID
}

func (Joined) action()   {}
func (Left) action()     {}
func (Rebooted) action() {}
