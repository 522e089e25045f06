package relay

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// leafStatePublisher holds the latest state of each leaf and sends it to entries
// and other relays. It has its own lock: a worker that publishes must not wait
// for the server's lock, since the server may hold it while it waits for room in
// the worker's inbox. It is safe for concurrent use.
type leafStatePublisher struct {
	mu      sync.Mutex
	version uint64
	// draining is sent with each update.
	draining bool
	states   map[topology.LeafID]message.LeafFacts
	peers    map[*wire.Peer]struct{}
}

func newLeafStatePublisher() *leafStatePublisher {
	return &leafStatePublisher{
		states: make(map[topology.LeafID]message.LeafFacts),
		peers:  make(map[*wire.Peer]struct{}),
	}
}

// addPeer sends the states of all leaves to a new peer, and each change from then
// on. Peers other than entries and relays are ignored.
func (h *leafStatePublisher) addPeer(p *wire.Peer) {
	if p.Remote.Role != wire.RoleEntry && p.Remote.Role != wire.RoleRelay {
		return
	}
	h.mu.Lock()
	h.peers[p] = struct{}{}
	h.mu.Unlock()
	h.sendAll(p)
	go func() {
		<-p.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.peers, p)
	}()
}

// sendAll sends the states of all leaves to a peer.
func (h *leafStatePublisher) sendAll(p *wire.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	notifyLeafStates(p, message.LeafFactsUpdate{Version: h.version, Full: true, Facts: h.list(), Draining: h.draining})
}

// publish stores a leaf's state and sends it to all peers.
func (h *leafStatePublisher) publish(f message.LeafFacts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states[f.Leaf] = f
	h.version++
	h.broadcast(message.LeafFactsUpdate{Version: h.version, Facts: []message.LeafFacts{f}})
}

// remove deletes a leaf that the relay no longer serves.
func (h *leafStatePublisher) remove(leaf topology.LeafID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.states[leaf]; !ok {
		return
	}
	delete(h.states, leaf)
	h.version++
	h.broadcast(message.LeafFactsUpdate{Version: h.version, Gone: []topology.LeafID{leaf}})
}

// sendHeartbeat shows that the relay is running. Its version lets a peer detect
// that it missed an update. Sending the states of all leaves instead used the
// whole control bandwidth of a VM at the present number of leaves.
func (h *leafStatePublisher) sendHeartbeat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broadcast(message.LeafFactsUpdate{Version: h.version})
}

// announceDrain informs all peers that the relay is about to stop.
func (h *leafStatePublisher) announceDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.broadcast(message.LeafFactsUpdate{Version: h.version})
}

func (h *leafStatePublisher) list() []message.LeafFacts {
	out := make([]message.LeafFacts, 0, len(h.states))
	for _, f := range h.states {
		out = append(out, f)
	}
	return out
}

func (h *leafStatePublisher) broadcast(u message.LeafFactsUpdate) {
	u.Draining = h.draining
	for p := range h.peers {
		notifyLeafStates(p, u)
	}
}

func notifyLeafStates(p *wire.Peer, u message.LeafFactsUpdate) {
	if err := p.Notify(wire.KindLeafFacts, u); err != nil {
		klog.ErrorS(err, "Cannot encode leaf states")
	}
}
