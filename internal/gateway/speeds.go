package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
	"github.com/medlarswitch/medlarswitch/internal/message"
)

// findingsInterval is the time between two exchanges of findings about slow leaves. A
// slow phase lasts some seconds.
const findingsInterval = 500 * time.Millisecond

// exchangeFindings tells other VMs of slow leaves and learns of theirs until the
// context is done.
func (n *Node) exchangeFindings(ctx context.Context) {
	// since holds up to which of its times each VM has told us its findings.
	since := make(map[string]time.Duration)
	var own time.Duration
	for ctx.Err() == nil {
		sleep(ctx, findingsInterval)
		peers, found := n.slowLeaves()
		// What others told this VM as a seed is learned like what it asked for.
		now := n.now()
		n.applyFindings(n.hub.ExchangeFindings(found, own))
		own = now
		for _, addr := range peers {
			answer, err := n.peerClient.ExchangeFindings(ctx, addr, message.LeafSpeeds{Findings: found, Since: since[addr]})
			if err != nil {
				klog.V(1).InfoS("Cannot exchange findings about leaves", "peer", addr, "err", err)
				continue
			}
			since[addr] = answer.Since
			n.applyFindings(answer.Findings)
		}
	}
}

// slowLeaves returns with whom to exchange, and what this VM found.
func (n *Node) slowLeaves() ([]string, []leafspeed.Finding) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	return n.sources.ExchangePeers(now), n.table.SlowLeaves(now)
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
