package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const evictionsTimeout = 4 * time.Second

// pollEvictions reads the zone's evictions through the agent, each
// activeEvictionsInterval while a worker requests a lease and each
// idleEvictionsInterval otherwise.
func (k *leaseManager) pollEvictions(ctx context.Context) {
	var last time.Time
	tick := time.NewTicker(activeEvictionsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !k.anyRequested() && time.Since(last) < idleEvictionsInterval {
			continue
		}
		last = time.Now()
		k.callAgent(message.EvictionsCall{Zone: k.proc.Self.Zone})
	}
}

func (k *leaseManager) anyRequested() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.requested) > 0
}

// callAgent reads or replaces the evictions through the agent, and passes those
// that the store then holds to the machine.
func (k *leaseManager) callAgent(call message.EvictionsCall) {
	ctx, cancel := context.WithTimeout(context.Background(), evictionsTimeout)
	defer cancel()
	var answer message.EvictionsAnswer
	if err := k.agent.Call(ctx, wire.KindEvictions, call, &answer); err != nil {
		klog.V(1).InfoS("Cannot read evictions", "err", err)
		return
	}
	if answer.OK {
		k.step(coldlease.EvictionsRead{Evictions: answer.Evictions, Version: answer.Version})
	}
}
