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

// runHeartbeats gives a sign of life and looks again which leaves to serve.
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

// handlePeerLeafStates passes on to a worker what another relay says of its leaf.
func (s *Server) handlePeerLeafStates(p *wire.Peer, env *wire.Envelope) {
	var update message.LeafFactsUpdate
	if err := wire.DecodeBody(env, &update); err != nil {
		klog.ErrorS(err, "Cannot decode leaf facts", "peer", p.Remote.VM)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDraining(p.Remote.VM, update.Draining)
	for _, f := range update.Facts {
		if w, ok := s.workers[f.Leaf]; ok {
			w.post(peerLeafState{from: p.Remote.VM, state: f})
		}
	}
}

// recordDraining takes over the leaves of a relay that is about to stop.
func (s *Server) recordDraining(vm topology.VMID, draining bool) {
	if s.draining[vm] == draining {
		return
	}
	s.draining[vm] = draining
	for _, w := range s.workers {
		w.post(servingState{serving: s.servesLeaf(w.leaf)})
	}
}

// postBlocking waits for room, since the event must not be lost.
func (w *leafWorker) postBlocking(ctx context.Context, ev workerEvent) {
	select {
	case w.inbox <- ev:
	case <-ctx.Done():
	}
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
