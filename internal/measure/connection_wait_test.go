package measure

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
)

// leafConnections simulates a leaf whose requests need an open connection and a
// slot.
type leafConnections struct {
	loop      eventloop.Loop
	rng       *rand.Rand
	runTime   time.Duration
	setupTime time.Duration
	// open is the number of open connections and may grow to limit. opening is
	// the number that are being set up, running the number in use.
	open, limit, opening, running int
	queue                         []time.Duration
	waits                         []time.Duration
}

const slotsPerLeaf = 2

func (c *leafConnections) arrive() {
	c.queue = append(c.queue, c.loop.Now)
	if len(c.queue) > c.open-c.running+c.opening && c.open+c.opening < c.limit {
		c.opening++
		c.loop.After(c.setupTime, func() { c.opening--; c.open++; c.start() })
	}
	c.start()
}

func (c *leafConnections) start() {
	for len(c.queue) > 0 && c.running < min(c.open, slotsPerLeaf) {
		c.waits = append(c.waits, c.loop.Now-c.queue[0])
		c.queue = c.queue[1:]
		c.running++
		took := time.Duration(float64(c.runTime) * (0.8 + 0.4*c.rng.Float64()))
		c.loop.After(took, func() { c.running--; c.start() })
	}
}

// waitP99 returns the 99th percentile of the time that requests wait before they
// start, over 20,000 Poisson arrivals. load is a share of the leaf's capacity.
// After every 200 requests the number of connections is set back to open, as
// after an idle period.
func waitP99(runAndSetup [2]time.Duration, open, limit int, load float64) time.Duration {
	c := &leafConnections{rng: rand.New(rand.NewPCG(1, 1)), runTime: runAndSetup[0], setupTime: runAndSetup[1]}
	mean := float64(runAndSetup[0]) / slotsPerLeaf / load
	for range 100 {
		c.open, c.limit = open, limit
		at := c.loop.Now + time.Second
		for range 200 {
			at += time.Duration(c.rng.ExpFloat64() * mean)
			c.loop.At(at, c.arrive)
		}
		c.loop.RunUntil(at + time.Second)
	}
	slices.Sort(c.waits)
	return c.waits[len(c.waits)*99/100]
}

// Guards against keeping fewer connections open than a leaf has slots, which
// makes requests wait for a connection while a slot is free. More connections
// than slots don't shorten the wait, since requests then wait for slots.
func TestWaitForAConnection(t *testing.T) {
	for _, runAndSetup := range [][2]time.Duration{{12 * time.Millisecond, 6 * time.Millisecond}, {4 * time.Millisecond, time.Millisecond}} {
		for _, load := range []float64{0.3, 0.6, 0.9} {
			oneFixed, oneGrowing := waitP99(runAndSetup, 1, 1, load/2), waitP99(runAndSetup, 1, 6, load/2)
			twoFixed, twoGrowing := waitP99(runAndSetup, 2, 2, load), waitP99(runAndSetup, 2, 6, load)
			t.Logf("run time %v, setup time %v, load %.1f: p99 wait with 1 connection at half the load: fixed %v, growing %v; with 2 connections: fixed %v, growing %v",
				runAndSetup[0], runAndSetup[1], load, oneFixed, oneGrowing, twoFixed, twoGrowing)
			assert.Assert(t, oneGrowing < oneFixed, "more connections don't shorten the wait while a slot is free")
			assert.Assert(t, twoGrowing == twoFixed, "more connections than slots change the wait")
		}
	}
}
