package harness

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// settings returns the content of the settings file of a process.
func (c *Cluster) settings(vm int, role string) string {
	addr := func(port int) string { return c.Fleet.VMAddress(vm, port) }
	common := fmt.Sprintf("vm = %q\nzone = %q\nagent = %q\ndrain_delay = \"1s\"\nlog_verbosity = 1\n",
		c.Fleet.VMs[vm].GetId(), c.Fleet.VMs[vm].GetZone(), addr(standin.PortAgentFrames))
	switch role {
	case RoleAgent:
		next := c.Fleet.VMAddress((vm+1)%len(c.Fleet.VMs), standin.PortAgentFrames)
		return common + fmt.Sprintf("admin = %q\nplatform = %q\npoll_interval = \"1s\"\npeers = [%q]\n",
			addr(standin.PortAgentAdmin), c.platformURL(vm), next)
	case RoleRelay:
		return common + fmt.Sprintf("admin = %q\nframes = %q\n", addr(standin.PortRelayAdmin), addr(standin.PortRelayFrames))
	default:
		return common + fmt.Sprintf("admin = %q\ncallers = %q\nframes = %q\nmax_queries = 256\nmax_tickets = 10000\n",
			addr(standin.PortEntryAdmin), addr(standin.PortEntryCallers), addr(standin.PortEntryFrames))
	}
}

// freeNet returns the prefix of a loopback network on which no stand-in listens.
func freeNet() string {
	const first, last, tries = 20, 220, 100
	for range tries {
		n := fmt.Sprintf("127.%d", first+rand.IntN(last-first))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", n, standin.PortControl))
		if err == nil {
			_ = ln.Close()
			return n
		}
	}
	return fmt.Sprintf("127.%d", last)
}
