package membership

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Event is something that happened to the agent.
type Event interface{ event() }

// Tick lets time pass; the agent sends one at least every 250 ms.
type Tick struct{}

// ListReceived is a version of the platform's list.
type ListReceived struct{ View topology.VMView }

// MessageReceived is any sign of life from a VM.
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

// Joined reports a VM that is new in the list or whose entry changed, or that
// was silent and answers again.
type Joined struct{ VM topology.VM }

// Left reports a VM that the list no longer has, or that has fallen silent.
type Left struct {
	VM topology.VMID
	// Removed is true when the list no longer has the VM, and false for one
	// that is only silent.
	Removed bool
}

// Rebooted reports a VM that runs with another boot ID than before.
type Rebooted struct {
	VM   topology.VMID
	Boot topology.BootID
}

func (Joined) action()   {}
func (Left) action()     {}
func (Rebooted) action() {}
