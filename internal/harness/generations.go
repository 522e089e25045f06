package harness

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const generationPollInterval = 50 * time.Millisecond

// GenerationWatch samples the active generation of every process and records
// each decrease.
type GenerationWatch struct {
	cancel  context.CancelFunc
	pollers sync.WaitGroup

	mu        sync.Mutex
	previous  map[string]uint64
	decreases []string
	samples   int
}

// WatchGenerations polls the status of every process until Stop is called.
func (c *Cluster) WatchGenerations(ctx context.Context) *GenerationWatch {
	ctx, cancel := context.WithCancel(ctx)
	g := &GenerationWatch{cancel: cancel, previous: make(map[string]uint64)}
	for vm := range c.Fleet.VMs {
		for _, role := range roles {
			g.pollers.Go(func() { g.poll(ctx, c, vm, role) })
		}
	}
	return g
}

func (g *GenerationWatch) poll(ctx context.Context, c *Cluster, vm int, role string) {
	tick := time.NewTicker(generationPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		status, err := c.Status(ctx, vm, role)
		if err == nil && status.GetReady() {
			g.record(processName(vm, role), status.GetGeneration())
		}
	}
}

// record compares the generation of a ready process with its previous one, which
// may be from before a restart.
func (g *GenerationWatch) record(name string, generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples++
	if last := g.previous[name]; generation < last {
		g.decreases = append(g.decreases, fmt.Sprintf("%s: %d after %d", name, generation, last))
	}
	g.previous[name] = generation
}

// Stop stops polling. It returns a description of each decrease and the number
// of samples.
func (g *GenerationWatch) Stop() (decreases []string, samples int) {
	g.cancel()
	g.pollers.Wait()
	return g.decreases, g.samples
}
