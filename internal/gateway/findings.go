package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
	"github.com/medlarswitch/medlarswitch/internal/message"
)

// findingsInterval is the time between two exchanges of findings about
// leaves. A slow phase lasts some seconds.
const findingsInterval = 500 * time.Millisecond

// exchangeFindings exchanges findings about slow leaves, and of the store, with other VMs until
// the context is cancelled.
func (n *Node) exchangeFindings(ctx context.Context) {
	// since holds, for each VM, the time on that VM's clock up to which its
	// findings have been received.
	since := make(map[string]time.Duration)
	var hubSince time.Duration
	for ctx.Err() == nil {
		sleep(ctx, findingsInterval)
		peers, ownFindings := n.slowLeaves()
		// Findings that others sent to this VM as a seed are applied like those
		// that it requested.
		now := n.now()
		n.applyFindings(n.hub.ExchangeFindings(ownFindings, hubSince))
		hubSince = now
		for _, addr := range peers {
			answer, err := n.peerClient.ExchangeFindings(ctx, addr, message.LeafSpeeds{Findings: ownFindings, Since: since[addr], Store: n.StoreState()})
			if err != nil {
				klog.V(1).InfoS("Failed to exchange findings about slow leaves", "peer", addr, "err", err)
				continue
			}
			since[addr] = answer.Since
			n.HeardStoreState(answer.Store)
			n.applyFindings(answer.Findings)
		}
	}
}

// slowLeaves returns the peers to exchange findings with, and the findings of
// this VM.
func (n *Node) slowLeaves() ([]string, []leafspeed.Finding) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	return n.sources.ExchangePeers(now), n.table.Findings(now)
}

func (n *Node) applyFindings(findings []leafspeed.Finding) {
	if len(findings) == 0 {
		return
	}
	n.hub.AddFindings(findings)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.ApplyFindings(n.now(), findings)
}
