package agentlink

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// agentTimeout is the time without an offer of the VM's agent after which the
	// agents of other VMs are followed too. An agent repeats its generation each
	// second, and a zone that is taken out of service must get no work after 5 s.
	agentTimeout = 2500 * time.Millisecond
	// maxFallbackAgents limits the number of other agents that are followed.
	maxFallbackAgents  = 2
	agentCheckInterval = 250 * time.Millisecond
)

// followFallbackAgents connects to agents of other VMs while the VM's own agent sends
// no offers. Otherwise a VM whose agent has crashed or is frozen would still use a
// zone that was taken out of service.
func (l *Link) followFallbackAgents(ctx context.Context) {
	tick := time.NewTicker(agentCheckInterval)
	defer tick.Stop()
	var fallbacks []string
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		switch unresponsive := l.generation.Load() > 0 && l.SinceLastOffer() >= agentTimeout; {
		case !unresponsive && fallbacks != nil:
			fallbacks = nil
		case unresponsive && fallbacks == nil:
			fallbacks = l.fallbackAgents()
		default:
			continue
		}
		l.links.Set(ctx, append([]string{l.addr}, fallbacks...))
	}
}

// fallbackAgents returns the addresses of at most maxFallbackAgents other agents.
// Agents of this zone come first; the order is random otherwise.
func (l *Link) fallbackAgents() []string {
	view := l.vms.Load()
	if view == nil {
		return nil
	}
	var near, far []string
	for _, i := range rand.Perm(len(view.VMs)) {
		vm := view.VMs[i]
		switch {
		case vm.ID == l.proc.Self.VM:
		case vm.Zone == l.proc.Self.Zone:
			near = append(near, vm.AgentAddress)
		default:
			far = append(far, vm.AgentAddress)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxFallbackAgents)]
}

// updateVMs stores a VM list unless it is older than the current one, and reports
// whether it did. Another agent, or one that has just started, may have an older list.
func (l *Link) updateVMs(v topology.VMView) bool {
	if current := l.vms.Load(); current != nil && v.Version < current.Version {
		return false
	}
	l.vms.Store(&v)
	return true
}
