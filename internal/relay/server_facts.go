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

// repeatFacts gives a sign of life and looks again which leaves to serve.
func (s *Server) repeatFacts(ctx context.Context) {
	tick := time.NewTicker(factsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.hub.beat()
		s.mu.Lock()
		for _, w := range s.workers {
			w.mustPost(ctx, ranked{serving: s.serving(w.leaf)})
		}
		s.mu.Unlock()
	}
}

// peerFacts passes on to a worker what another relay says of its leaf.
func (s *Server) peerFacts(p *wire.Peer, env *wire.Envelope) {
	var update message.LeafStatusUpdate
	if err := wire.DecodeBody(env, &update); err != nil {
		klog.ErrorS(err, "Cannot decode leaf facts", "peer", p.Remote.VM)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteDraining(p.Remote.VM, update.Draining)
	for _, f := range update.Statuses {
		if w, ok := s.workers[f.Leaf]; ok {
			w.post(peerFacts{from: p.Remote.VM, facts: f})
		}
	}
}

// noteDraining takes over the leaves of a relay that is about to stop.
func (s *Server) noteDraining(vm topology.VMID, draining bool) {
	if s.draining[vm] == draining {
		return
	}
	s.draining[vm] = draining
	for _, w := range s.workers {
		w.post(ranked{serving: s.serving(w.leaf)})
	}
}

// mustPost waits for room, since the event must not be lost.
func (w *leafWorker) mustPost(ctx context.Context, ev workerEvent) {
	select {
	case w.inbox <- ev:
	case <-ctx.Done():
	}
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
