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
	mu    sync.Mutex
	facts map[topology.LeafID]message.LeafFacts
	peers map[*wire.Peer]struct{}
}

func newFactsHub() *factsHub {
	return &factsHub{
		facts: make(map[topology.LeafID]message.LeafFacts),
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
	notifyFacts(p, h.list())
	h.mu.Unlock()
	go func() {
		<-p.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.peers, p)
	}()
}

// publish stores a leaf's facts and tells them.
func (h *factsHub) publish(f message.LeafFacts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.facts[f.Leaf] = f
	h.broadcast([]message.LeafFacts{f})
}

// drop forgets a leaf.
func (h *factsHub) drop(leaf topology.LeafID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.facts, leaf)
}

// repeat tells all facts again.
func (h *factsHub) repeat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broadcast(h.list())
}

// all returns the facts of all leaves.
func (h *factsHub) all() []message.LeafFacts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list()
}

func (h *factsHub) list() []message.LeafFacts {
	out := make([]message.LeafFacts, 0, len(h.facts))
	for _, f := range h.facts {
		out = append(out, f)
	}
	return out
}

func (h *factsHub) broadcast(facts []message.LeafFacts) {
	for p := range h.peers {
		notifyFacts(p, facts)
	}
}

func notifyFacts(p *wire.Peer, facts []message.LeafFacts) {
	if err := p.Notify(wire.KindLeafFacts, facts); err != nil {
		klog.ErrorS(err, "Cannot encode leaf facts")
	}
}
