package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// peer is another VM of the zone.
type peer struct {
	id   topology.VMID
	slot int
	// boot is the one heard of last, 0 before the first message, and
	// listVersion the highest VM list that it confirmed.
	boot        topology.BootID
	listVersion uint64
	// lastNonce is the highest one in a request of that boot.
	lastNonce uint64
	// unanswered counts the requests since the last message, the first of
	// which was sent at waitingSince.
	unanswered      int
	unansweredSince time.Duration
	nextProposal    time.Duration
	// droppedAt is when a list without the peer was read.
	dropped   bool
	droppedAt time.Duration
	// skipFrom is when an eviction that is in force for this VM was read.
	evicted   bool
	evictedAt time.Duration
}

func (p *peer) recordMessage(boot topology.BootID, listVersion uint64) (newBoot bool) {
	p.unanswered = 0
	if boot != p.boot {
		p.boot, p.listVersion, p.lastNonce = boot, 0, 0
		newBoot = true
	}
	p.listVersion = max(p.listVersion, listVersion)
	return newBoot
}

func (p *peer) recordRequest(now time.Duration) {
	if p.unanswered == 0 {
		p.unansweredSince = now
	}
	p.unanswered++
}
