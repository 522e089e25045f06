package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// ProposeEviction asks the shell to evict a boot of a VM. The shell replaces the
// content of the store object by Evictions if the object still has version
// IfVersion (0: if it does not exist), and then reads it back.
type ProposeEviction struct {
	VM        topology.VMID
	Boot      topology.BootID
	Evictions []Eviction
	IfVersion uint64
}

func (ProposeEviction) action() {}
