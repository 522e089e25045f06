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
	states   map[topology.LeafID]message.LeafStatus
	peers    map[*wire.Peer]struct{}
}

func newLeafStatePublisher() *leafStatePublisher {
	return &leafStatePublisher{
		states: make(map[topology.LeafID]message.LeafStatus),
		peers:  make(map[*wire.Peer]struct{}),
	}
}

// addPeer sends the states of all leaves to a new peer, and each change from then
// on. Peers other than entries and relays are ignored.
func (s *leafStatePublisher) addPeer(p *wire.Peer) {
	if p.Remote.Role != wire.RoleEntry && p.Remote.Role != wire.RoleRelay {
		return
	}
	s.mu.Lock()
	s.peers[p] = struct{}{}
	s.mu.Unlock()
	s.sendAll(p)
	go func() {
		<-p.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.peers, p)
	}()
}

// sendAll sends the states of all leaves to a peer.
func (s *leafStatePublisher) sendAll(p *wire.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notifyLeafStates(p, message.LeafStatusUpdate{Version: s.version, Full: true, Statuses: s.list(), Draining: s.draining})
}

// publish stores a leaf's state and sends it to all peers.
func (s *leafStatePublisher) publish(f message.LeafStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[f.Leaf] = f
	s.version++
	s.broadcast(message.LeafStatusUpdate{Version: s.version, Statuses: []message.LeafStatus{f}})
}

// remove deletes a leaf that the relay no longer serves.
func (s *leafStatePublisher) remove(leaf topology.LeafID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.states[leaf]; !ok {
		return
	}
	delete(s.states, leaf)
	s.version++
	s.broadcast(message.LeafStatusUpdate{Version: s.version, Removed: []topology.LeafID{leaf}})
}

// sendHeartbeat shows that the relay is running. Its version lets a peer detect
// that it missed an update. Sending the states of all leaves instead used the
// whole control bandwidth of a VM at the present number of leaves.
func (s *leafStatePublisher) sendHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast(message.LeafStatusUpdate{Version: s.version})
}

// announceDrain informs all peers that the relay is about to stop.
func (s *leafStatePublisher) announceDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.broadcast(message.LeafStatusUpdate{Version: s.version})
}

func (s *leafStatePublisher) list() []message.LeafStatus {
	out := make([]message.LeafStatus, 0, len(s.states))
	for _, f := range s.states {
		out = append(out, f)
	}
	return out
}

func (s *leafStatePublisher) broadcast(u message.LeafStatusUpdate) {
	u.Draining = s.draining
	for p := range s.peers {
		notifyLeafStates(p, u)
	}
}

func notifyLeafStates(p *wire.Peer, u message.LeafStatusUpdate) {
	if err := p.Notify(wire.KindLeafStatus, u); err != nil {
		klog.ErrorS(err, "Cannot encode leaf states")
	}
}
