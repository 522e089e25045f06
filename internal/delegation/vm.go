package delegation

import "github.com/medlarswitch/medlarswitch/internal/fleet"

// VM describes a VM to a chooser.
type VM struct {
	Name string
	Zone fleet.Zone
	// Address is the address at which other VMs connect to it.
	Address string
	// Cores is the CPU time per second that it may use; 0 means unknown.
	Cores float64
}

// aggregatesFor reports whether a VM runs the queries of another one. A VM of
// unknown size runs its own queries.
func (v VM) aggregatesFor(other VM) bool {
	return other.Cores > 0 && v.Cores >= minAdvantage*other.Cores &&
		v.Zone == other.Zone && v.Address != "" && v.Address != other.Address
}

// Aggregators returns the names of the VMs that run queries of other VMs.
func Aggregators(vms []VM) map[string]bool {
	smallest := make(map[fleet.Zone]VM)
	for _, vm := range vms {
		if least, ok := smallest[vm.Zone]; vm.Cores > 0 && (!ok || vm.Cores < least.Cores) {
			smallest[vm.Zone] = vm
		}
	}
	out := make(map[string]bool)
	for _, vm := range vms {
		if least, ok := smallest[vm.Zone]; ok && vm.aggregatesFor(least) {
			out[vm.Name] = true
		}
	}
	return out
}

// Runners returns the names of the VMs that run queries over many shards: aggregators,
// and the VMs of zones without one.
func Runners(vms []VM) map[string]bool {
	out := Aggregators(vms)
	delegates := make(map[fleet.Zone]bool)
	for _, vm := range vms {
		if out[vm.Name] {
			delegates[vm.Zone] = true
		}
	}
	for _, vm := range vms {
		if !delegates[vm.Zone] {
			out[vm.Name] = true
		}
	}
	return out
}
