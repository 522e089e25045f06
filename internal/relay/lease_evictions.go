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

// followEvictions reads the zone's evictions through the agent: often while a
// lease is wanted, seldom otherwise.
func (k *leaseKeeper) followEvictions(ctx context.Context) {
	var last time.Time
	tick := time.NewTicker(evictionsBusy)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !k.wantsAny() && time.Since(last) < evictionsQuiet {
			continue
		}
		last = time.Now()
		k.askAgent(message.EvictionsCall{Zone: k.proc.Self.Zone})
	}
}

func (k *leaseKeeper) wantsAny() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.wanted) > 0
}

// askAgent reads or replaces the evictions and hands what the store holds to
// the machine.
func (k *leaseKeeper) askAgent(call message.EvictionsCall) {
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
