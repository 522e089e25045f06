package harness

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const generationPoll = 50 * time.Millisecond

// GenerationWatch watches the generation in force at every process.
type GenerationWatch struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	last  map[string]uint64
	fell  []string
	looks int
}

// WatchGenerations polls the status of every process until Stop.
func (c *Cluster) WatchGenerations(ctx context.Context) *GenerationWatch {
	ctx, cancel := context.WithCancel(ctx)
	g := &GenerationWatch{cancel: cancel, last: make(map[string]uint64)}
	for vm := range c.Fleet.VMs {
		for _, role := range roles {
			g.done.Go(func() { g.follow(ctx, c, vm, role) })
		}
	}
	return g
}

func (g *GenerationWatch) follow(ctx context.Context, c *Cluster, vm int, role string) {
	tick := time.NewTicker(generationPoll)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		status, err := c.Status(ctx, vm, role)
		if err == nil && status.GetReady() {
			g.saw(processName(vm, role), status.GetGeneration())
		}
	}
}

// saw compares a generation of a ready process with the one before, also
// across a restart.
func (g *GenerationWatch) saw(name string, generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.looks++
	if last := g.last[name]; generation < last {
		g.fell = append(g.fell, fmt.Sprintf("%s: %d after %d", name, generation, last))
	}
	g.last[name] = generation
}

// Stop ends the watch and returns the generations that fell, and how often a
// generation was seen.
func (g *GenerationWatch) Stop() (fell []string, looks int) {
	g.cancel()
	g.done.Wait()
	return g.fell, g.looks
}
