package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/pause"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	guardInterval  = 250 * time.Millisecond
	confirmTimeout = 900 * time.Millisecond
	confirmPoll    = 5 * time.Millisecond
)

// pauseGuard knows whether the agent itself was paused. It is safe for
// concurrent use.
type pauseGuard struct {
	server *Server

	mu       sync.Mutex
	detector *pause.Detector
}

func newPauseGuard(s *Server) *pauseGuard {
	return &pauseGuard{server: s, detector: pause.New(guardInterval, pause.DefaultTolerance)}
}

// run reads the store after each pause: what waits in sockets is old.
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
			go g.refresh(ctx, now)
		}
	}
}

func (g *pauseGuard) refresh(ctx context.Context, asked time.Duration) {
	if _, ok := g.server.store.get(ctx); !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Confirm(asked)
}

func (g *pauseGuard) current() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.MayAccept(g.server.proc.Now())
}

// confirm answers a process of the VM that was paused. After a pause of its
// own the agent reads the store first, for at most confirmTimeout: cut off
// from the platform it must go on with what it has.
func (s *Server) confirm(p *wire.Peer, env *wire.Envelope) {
	deadline := time.Now().Add(confirmTimeout)
	for !s.pauses.current() && time.Now().Before(deadline) {
		time.Sleep(confirmPoll)
	}
	s.mu.Lock()
	generation := s.manifest.Generation
	s.mu.Unlock()
	if err := p.Reply(env, wire.KindConfirm, message.Confirmed{Generation: generation}); err != nil {
		klog.ErrorS(err, "Cannot encode confirmation")
	}
}
