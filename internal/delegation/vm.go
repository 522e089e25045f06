package delegation

import "github.com/medlarswitch/medlarswitch/internal/fleet"

// VM is what a chooser knows of a VM.
type VM struct {
	Name string
	Zone fleet.Zone
	// Address is where other VMs reach it.
	Address string
	// Cores is the processor time per second that it may use.
	Cores float64
}
