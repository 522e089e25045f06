package harness

import (
	"syscall"

	"github.com/pkg/errors"
)

// SignalVM sends a signal to all processes of a VM.
func (c *Cluster) SignalVM(vm int, s syscall.Signal) error {
	for _, role := range roles {
		if err := c.Process(vm, role).Signal(s); err != nil {
			return errors.Wrapf(err, "signal %s of vm %d", role, vm)
		}
	}
	return nil
}

// VMsInZone numbers the VMs of a zone.
func (c *Cluster) VMsInZone(zone string) (out []int) {
	for i, vm := range c.Fleet.VMs {
		if vm.GetZone() == zone {
			out = append(out, i)
		}
	}
	return out
}
