package relay

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// leafStatusPublisher holds the latest status of each leaf and sends it to entries
// and other relays. It has its own lock: a worker that publishes must not wait
// for the server's lock, since the server may hold it while it waits for room in
// the worker's inbox. It is safe for concurrent use.
type leafStatusPublisher struct {
	mu      sync.Mutex
	version uint64
	// draining is sent with each update.
	draining bool
	statuses map[topology.LeafID]message.LeafStatus
	peers    map[*wire.Peer]struct{}
}

func newLeafStatusPublisher() *leafStatusPublisher {
	return &leafStatusPublisher{
		statuses: make(map[topology.LeafID]message.LeafStatus),
		peers:    make(map[*wire.Peer]struct{}),
	}
}

// addPeer sends the statuses of all leaves to a new peer, and each change from then
// on. Peers other than entries and relays are ignored.
func (s *leafStatusPublisher) addPeer(p *wire.Peer) {
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

// sendAll sends the statuses of all leaves to a peer.
func (s *leafStatusPublisher) sendAll(p *wire.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notifyLeafStatus(p, message.LeafStatusUpdate{Version: s.version, Full: true, Statuses: s.list(), Draining: s.draining})
}

// publish stores a leaf's status and sends it to all peers.
func (s *leafStatusPublisher) publish(status message.LeafStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status.Leaf] = status
	s.version++
	s.broadcast(message.LeafStatusUpdate{Version: s.version, Statuses: []message.LeafStatus{status}})
}

// remove deletes a leaf that the relay no longer serves.
func (s *leafStatusPublisher) remove(leaf topology.LeafID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.statuses[leaf]; !ok {
		return
	}
	delete(s.statuses, leaf)
	s.version++
	s.broadcast(message.LeafStatusUpdate{Version: s.version, Removed: []topology.LeafID{leaf}})
}

// sendHeartbeat shows that the relay is running. Its version lets a peer detect
// that it missed an update. Sending the statuses of all leaves instead used the
// whole control bandwidth of a VM at the present number of leaves.
func (s *leafStatusPublisher) sendHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast(message.LeafStatusUpdate{Version: s.version})
}

// announceDrain informs all peers that the relay is about to stop.
func (s *leafStatusPublisher) announceDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.broadcast(message.LeafStatusUpdate{Version: s.version})
}

func (s *leafStatusPublisher) list() []message.LeafStatus {
	out := make([]message.LeafStatus, 0, len(s.statuses))
	for _, status := range s.statuses {
		out = append(out, status)
	}
	return out
}

func (s *leafStatusPublisher) broadcast(u message.LeafStatusUpdate) {
	u.Draining = s.draining
	for p := range s.peers {
		notifyLeafStatus(p, u)
	}
}

func notifyLeafStatus(p *wire.Peer, u message.LeafStatusUpdate) {
	if err := p.Notify(wire.KindLeafStatus, u); err != nil {
		klog.ErrorS(err, "Cannot encode leaf status")
	}
}
