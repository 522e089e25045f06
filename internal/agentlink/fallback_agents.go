package agentlink

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// agentSilence is how long the VM's agent may be silent before the agents
	// of other VMs are followed too. An agent repeats its generation each
	// second, and a zone that is taken out must get no work after 5 s.
	agentSilence = 2500 * time.Millisecond
	// maxSubstitutes is the number of other agents that are followed.
	maxSubstitutes = 2
	silenceCheck   = 250 * time.Millisecond
)

// followSubstitutes follows agents of other VMs while the VM's own one is
// silent. Otherwise a VM with a dead or frozen agent would go on using a zone
// that was taken out.
func (l *Link) followSubstitutes(ctx context.Context) {
	tick := time.NewTicker(silenceCheck)
	defer tick.Stop()
	var substitutes []string
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		switch silent := l.generation.Load() > 0 && l.SinceLastOffer() >= agentSilence; {
		case !silent && substitutes != nil:
			substitutes = nil
		case silent && substitutes == nil:
			substitutes = l.substitutes()
		default:
			continue
		}
		l.links.Set(ctx, append([]string{l.addr}, substitutes...))
	}
}

// substitutes returns the addresses of some other agents, those of this zone
// first and else in random order.
func (l *Link) substitutes() []string {
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
	return all[:min(len(all), maxSubstitutes)]
}

// newerVMs keeps a VM list and reports whether it is not older than the one
// held: another agent, or one that has just started, may hold an older one.
func (l *Link) newerVMs(v topology.VMView) bool {
	if held := l.vms.Load(); held != nil && v.Version < held.Version {
		return false
	}
	l.vms.Store(&v)
	return true
}
