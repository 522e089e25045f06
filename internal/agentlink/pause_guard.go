package agentlink

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
	confirmTimeout = time.Second
)

// pauseGuard detects pauses of the process and refuses new work after one, because
// the configuration may have changed in the meantime. It is safe for concurrent use.
type pauseGuard struct {
	link *Link

	mu       sync.Mutex
	detector *pause.Detector
}

func newPauseGuard(l *Link) *pauseGuard {
	return &pauseGuard{link: l, detector: pause.New(guardInterval, pause.DefaultTolerance)}
}

func (g *pauseGuard) mayAccept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.MayAccept(g.link.proc.Now())
}

func (g *pauseGuard) run(ctx context.Context) {
	tick := time.NewTicker(guardInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		paused := g.detector.Tick(g.link.proc.Now())
		g.mu.Unlock()
		if paused {
			klog.InfoS("The process was paused; new work waits for the agent's confirmation")
			go g.confirm(ctx)
		}
	}
}

// confirm requests the agent's generation, waits until that is active here, and
// then allows new work.
func (g *pauseGuard) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	requestedAt := g.link.proc.Now()
	var answer message.Confirmed
	if err := g.link.Call(ctx, wire.KindConfirm, message.Confirm{}, &answer); err != nil {
		klog.InfoS("The agent did not confirm the generation", "err", err)
		return
	}
	for g.link.generation.Load() < answer.Generation && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Confirm(requestedAt)
}
