package topology

// VM is an entry of the platform's list of the system's VMs.
type VM struct {
	ID           VMID   `msgpack:"i"`
	Zone         Zone   `msgpack:"z"`
	EntryAddress string `msgpack:"e"`
	RelayAddress string `msgpack:"r"`
	AgentAddress string `msgpack:"a"`
	Leaving      bool   `msgpack:"l"`
	// AdminAddresses are the admin endpoints of the VM's processes for operators.
	AdminAddresses []string `msgpack:"d,omitempty"`
}

// VMView is one version of the platform's list of VMs. The list may lag behind,
// but a VM that it no longer names does not run any more.
type VMView struct {
	Version uint64 `msgpack:"v"`
	VMs     []VM   `msgpack:"m"`
}

// InZone returns the VMs of a zone, in list order.
func (v VMView) InZone(z Zone) []VM {
	var out []VM
	for _, vm := range v.VMs {
		if vm.Zone == z {
			out = append(out, vm)
		}
	}
	return out
}

// Find returns a VM by its ID.
func (v VMView) Find(id VMID) (VM, bool) {
	for _, vm := range v.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}
