package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// peer is another VM of the zone.
type peer struct {
	id topology.VMID
	// slot is the index of the peer in leaseState.ackedSentTimes.
	slot int
	// boot is the boot that sent the latest message, 0 before the first message.
	// listVersion is the highest version of the VM list in its messages.
	boot        topology.BootID
	listVersion uint64
	// lastNonce is the highest nonce in a request of that boot.
	lastNonce uint64
	// unanswered counts the requests to the peer since its latest message. The
	// first of them was sent at unansweredSince.
	unanswered      int
	unansweredSince time.Duration
	nextProposal    time.Duration
	// unlisted is true when the VM list no longer names the peer. unlistedAt is
	// when the first list without it was received.
	unlisted   bool
	unlistedAt time.Duration
	// evicted is true while an eviction of the peer is in force for this VM.
	// evictedAt is when the eviction was first read.
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
