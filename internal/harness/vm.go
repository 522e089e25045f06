package harness

import (
	"syscall"

	"github.com/pkg/errors"
)

// SignalVM sends a signal to all processes on a VM.
func (c *Cluster) SignalVM(vm int, s syscall.Signal) error {
	for _, role := range roles {
		if err := c.Process(vm, role).Signal(s); err != nil {
			return errors.Wrapf(err, "signal %s of vm %d", role, vm)
		}
	}
	return nil
}

// VMsInZone returns the numbers of the VMs in a zone.
func (c *Cluster) VMsInZone(zone string) (out []int) {
	for i, vm := range c.Fleet.VMs {
		if vm.GetZone() == zone {
			out = append(out, i)
		}
	}
	return out
}
