package relay

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// runHeartbeats sends heartbeats, and passes to each worker again whether this
// relay serves its leaf, since that depends on the connections to other relays.
func (s *Server) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.publisher.sendHeartbeat()
		s.mu.Lock()
		for _, w := range s.workers {
			w.postBlocking(ctx, servingState{serving: s.servesLeaf(w.leaf)})
		}
		s.mu.Unlock()
	}
}

// handlePeerLeafStatus passes the leaf statuses that another relay sent to the
// workers of these leaves.
func (s *Server) handlePeerLeafStatus(p *wire.Peer, env *wire.Envelope) {
	var update message.LeafStatusUpdate
	if err := wire.DecodeBody(env, &update); err != nil {
		klog.ErrorS(err, "Cannot decode leaf status", "peer", p.Remote.VM)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDraining(p.Remote.VM, update.Draining)
	for _, status := range update.Statuses {
		if w, ok := s.workers[status.Leaf]; ok {
			w.post(peerLeafStatus{from: p.Remote.VM, status: status})
		}
	}
}

// recordDraining stores whether another relay is about to stop. When that changes,
// each worker is informed whether this relay serves its leaf now.
func (s *Server) recordDraining(vm topology.VMID, draining bool) {
	if s.draining[vm] == draining {
		return
	}
	s.draining[vm] = draining
	for _, w := range s.workers {
		w.post(servingState{serving: s.servesLeaf(w.leaf)})
	}
}

// postBlocking posts an event that must not be lost, and waits for room in the
// inbox.
func (w *leafWorker) postBlocking(ctx context.Context, ev workerEvent) {
	select {
	case w.inbox <- ev:
	case <-ctx.Done():
	}
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
