package relay

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// factsHub holds the latest facts of each leaf and tells them to entries and
// other relays. It has its own lock, so that workers can publish while the
// server hands them events. It is safe for concurrent use.
type factsHub struct {
	mu      sync.Mutex
	version uint64
	// draining is told with each update.
	draining bool
	facts    map[topology.LeafID]message.LeafStatus
	peers    map[*wire.Peer]struct{}
}

func newFactsHub() *factsHub {
	return &factsHub{
		facts: make(map[topology.LeafID]message.LeafStatus),
		peers: make(map[*wire.Peer]struct{}),
	}
}

// join tells a new peer all facts, and all changes from then on.
func (h *factsHub) join(p *wire.Peer) {
	if p.Remote.Role != wire.RoleEntry && p.Remote.Role != wire.RoleRelay {
		return
	}
	h.mu.Lock()
	h.peers[p] = struct{}{}
	h.mu.Unlock()
	h.resync(p)
	go func() {
		<-p.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.peers, p)
	}()
}

// resync tells a peer all facts.
func (h *factsHub) resync(p *wire.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	notifyFacts(p, message.LeafStatusUpdate{Version: h.version, Full: true, Statuses: h.list(), Draining: h.draining})
}

// publish stores a leaf's facts and tells them.
func (h *factsHub) publish(f message.LeafStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.facts[f.Leaf] = f
	h.version++
	h.broadcast(message.LeafStatusUpdate{Version: h.version, Statuses: []message.LeafStatus{f}})
}

// drop forgets a leaf that the relay no longer serves.
func (h *factsHub) drop(leaf topology.LeafID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.facts[leaf]; !ok {
		return
	}
	delete(h.facts, leaf)
	h.version++
	h.broadcast(message.LeafStatusUpdate{Version: h.version, Removed: []topology.LeafID{leaf}})
}

// beat tells that the relay is alive, and by the version whether an update was
// missed. Repeating all facts instead took the whole control bandwidth of a VM
// at today's size.
func (h *factsHub) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broadcast(message.LeafStatusUpdate{Version: h.version})
}

// drain tells that the relay is about to stop.
func (h *factsHub) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.broadcast(message.LeafStatusUpdate{Version: h.version})
}

func (h *factsHub) list() []message.LeafStatus {
	out := make([]message.LeafStatus, 0, len(h.facts))
	for _, f := range h.facts {
		out = append(out, f)
	}
	return out
}

func (h *factsHub) broadcast(u message.LeafStatusUpdate) {
	u.Draining = h.draining
	for p := range h.peers {
		notifyFacts(p, u)
	}
}

func notifyFacts(p *wire.Peer, u message.LeafStatusUpdate) {
	if err := p.Notify(wire.KindLeafStatus, u); err != nil {
		klog.ErrorS(err, "Cannot encode leaf facts")
	}
}
