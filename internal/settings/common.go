package settings

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	maxDrainDelay   = 10 * time.Minute
	maxLogVerbosity = 10
)

// Common holds the settings that agent, relay and entry have in common.
type Common struct {
	VM   topology.VMID
	Zone topology.Zone
	// Admin is the address of the HTTP listener for metrics, health and
	// operators.
	Admin string
	// Agent is the address of the VM's agent; in the agent's settings, that of its
	// own listener.
	Agent string
	// DrainDelay is how long a process that is stopping still accepts requests
	// from the load balancer.
	DrainDelay   time.Duration
	LogVerbosity int
}

func (c *Common) read(t *tomldoc.Table) {
	vm, _ := t.String("vm")
	zone, _ := t.String("zone")
	verbosity, _ := t.Int("log_verbosity", 0, maxLogVerbosity)
	c.VM, c.Zone, c.LogVerbosity = topology.VMID(vm), topology.Zone(zone), int(verbosity)
	c.Admin = readAddress(t, "admin")
	c.Agent = readAddress(t, "agent")
	c.DrainDelay, _ = t.Duration("drain_delay", 0, maxDrainDelay)
}

// readAddress reads an address and returns it in canonical form.
func readAddress(t *tomldoc.Table, key string) string {
	addr, ok := t.Address(key)
	if !ok {
		return ""
	}
	return addr.String()
}

// reportSharedAddresses reports each key that has the same address as a key before
// it: each listener of a process needs its own address.
func reportSharedAddresses(t *tomldoc.Table, addresses map[string]string, keys ...string) {
	first := map[string]string{}
	for _, key := range keys {
		addr := addresses[key]
		if addr == "" {
			continue
		}
		if other, ok := first[addr]; ok {
			t.Report(key, "is %s as %q: expected an address of its own", addr, other)
			continue
		}
		first[addr] = key
	}
}
