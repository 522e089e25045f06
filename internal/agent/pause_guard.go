package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/pause"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	guardInterval  = 250 * time.Millisecond
	confirmTimeout = 900 * time.Millisecond
	confirmPoll    = 5 * time.Millisecond
)

// pauseGuard detects pauses of the agent process, after which its configuration may
// be outdated. It is safe for concurrent use.
type pauseGuard struct {
	server *Server

	mu       sync.Mutex
	detector *pause.Detector
}

func newPauseGuard(s *Server) *pauseGuard {
	return &pauseGuard{server: s, detector: pause.New(guardInterval, pause.DefaultTolerance)}
}

// run reads the store after each pause, because messages that waited in sockets
// during the pause are outdated.
func (g *pauseGuard) run(ctx context.Context) {
	tick := time.NewTicker(guardInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		now := g.server.proc.Now()
		g.mu.Lock()
		paused := g.detector.Tick(now)
		g.mu.Unlock()
		if paused {
			klog.InfoS("The agent was paused; reading the manifest again")
			go g.refresh(ctx, g.server.proc.Now())
		}
	}
}

// refresh reads the manifest from the store and reports a confirmation to the
// detector once its generation is active here. Confirming directly after the read
// let the VM's processes use the old generation while the agent still fetched and
// checked the new one.
func (g *pauseGuard) refresh(ctx context.Context, asked time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	object, ok := g.server.store.get(ctx)
	if !ok {
		return
	}
	m, err := confsync.DecodeManifest(object.Value)
	if err != nil {
		return
	}
	for g.server.generation() < m.Generation {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(confirmPoll)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Confirm(asked)
}

// mayConfirm reports whether the active generation may be confirmed to a process.
func (g *pauseGuard) mayConfirm() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.MayAccept(g.server.proc.Now())
}

// handleConfirm confirms the active generation to a process of the VM that was
// paused. After a pause of its own the agent first waits for its read of the store,
// for at most confirmTimeout: without the platform it must continue with the
// configuration that it has.
func (s *Server) handleConfirm(p *wire.Peer, env *wire.Envelope) {
	defer s.proc.Panics.Recover("confirm", string(p.Remote.VM), nil)
	deadline := time.Now().Add(confirmTimeout)
	for !s.pauses.mayConfirm() && time.Now().Before(deadline) {
		time.Sleep(confirmPoll)
	}
	if err := p.Reply(env, wire.KindConfirm, message.Confirmed{Generation: s.generation()}); err != nil {
		klog.ErrorS(err, "Cannot encode a confirmation")
	}
}

func (s *Server) generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifest.Generation
}
