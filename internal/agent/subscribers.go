package agent

import (
	"context"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// repeatInterval is how often the active manifest is sent to the VM's own
// processes, so that they detect an unresponsive agent.
const repeatInterval = time.Second

// addSubscriber sends the VM list and the active manifest to a process of the VM
// that has connected, and subscribes it to later ones.
func (s *Server) addSubscriber(p *wire.Peer) {
	if p.Remote.Role != wire.RoleEntry && p.Remote.Role != wire.RoleRelay {
		return
	}
	s.mu.Lock()
	s.subscribers[p] = struct{}{}
	manifest, view := s.manifest, s.view
	s.mu.Unlock()
	notify(p, wire.KindVMView, message.VMView{View: view})
	if manifest.Generation > 0 {
		notify(p, wire.KindConfigOffer, manifest)
	}
	go func() {
		<-p.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, p)
	}()
}

// setManifest activates a generation that passed its check and sends its
// manifest to the VM's own processes. Generations that are not newer are ignored.
func (s *Server) setManifest(m confsync.Manifest) {
	s.mu.Lock()
	if m.Generation <= s.manifest.Generation {
		s.mu.Unlock()
		return
	}
	old := s.manifest.Generation
	s.manifest = m
	s.mu.Unlock()
	s.recordEdits(old, m)
	detail := ""
	if n := len(m.Edits); n > 0 {
		detail = "edit " + m.Edits[n-1].EditID + " of section " + m.Edits[n-1].Section
	}
	s.proc.Events.Add(timeline.KindConfigActive, "", "generation "+itoa(m.Generation), detail)
	s.sendManifest()
}

// recordEdits adds the edits since a generation to the time line. Only agents that
// watch the store do so; otherwise every VM would record each edit.
func (s *Server) recordEdits(since uint64, m confsync.Manifest) {
	if !s.store.watching() {
		return
	}
	for _, edit := range m.Edits {
		if edit.Generation > since {
			s.proc.Events.Add(timeline.KindEditAccepted, "", edit.Section,
				"generation "+itoa(edit.Generation)+", edit "+edit.EditID+" by team "+edit.Team)
		}
	}
}

// sendManifest sends the active manifest to the VM's own processes.
func (s *Server) sendManifest() {
	s.mu.Lock()
	m := s.manifest
	s.mu.Unlock()
	if m.Generation == 0 {
		return
	}
	for _, p := range s.subscriberList() {
		notify(p, wire.KindConfigOffer, m)
	}
}

func (s *Server) subscriberList() []*wire.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*wire.Peer, 0, len(s.subscribers))
	for p := range s.subscribers {
		out = append(out, p)
	}
	return out
}

func (s *Server) repeatManifest(ctx context.Context) {
	tick := time.NewTicker(repeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.sendManifest()
		case <-ctx.Done():
			return
		}
	}
}
