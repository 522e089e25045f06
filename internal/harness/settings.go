package harness

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"

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

// claimPort is a port that no program of a cluster uses. A listener on it claims the
// cluster's loopback network.
const claimPort = 7099

// claimNet returns the prefix of a loopback network that no other cluster uses, also of
// another process, until the listener is closed.
func claimNet() (string, net.Listener, error) {
	const first, last, tries = 20, 220, 100
	var err error
	for range tries {
		n := fmt.Sprintf("127.%d", first+rand.IntN(last-first))
		var ln net.Listener
		if ln, err = net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", n, claimPort)); err == nil {
			return n, ln, nil
		}
	}
	return "", nil, errors.Wrap(err, "claim a loopback network")
}
