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
func (l *leaseManager) pollEvictions(ctx context.Context) {
	var last time.Time
	tick := time.NewTicker(activeEvictionsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if !l.anyRequested() && time.Since(last) < idleEvictionsInterval {
			continue
		}
		last = time.Now()
		l.callAgent(message.EvictionsCall{Zone: l.proc.Self.Zone})
	}
}

func (l *leaseManager) anyRequested() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requested) > 0
}

// callAgent reads or replaces the evictions through the agent, and passes those
// that the store then holds to the machine.
func (l *leaseManager) callAgent(call message.EvictionsCall) {
	ctx, cancel := context.WithTimeout(context.Background(), evictionsTimeout)
	defer cancel()
	var answer message.EvictionsAnswer
	if err := l.agent.Call(ctx, wire.KindEvictions, call, &answer); err != nil {
		klog.V(1).InfoS("Cannot read evictions", "err", err)
		return
	}
	if answer.OK {
		l.step(coldlease.EvictionsRead{Evictions: answer.Evictions, Version: answer.Version})
	}
}
