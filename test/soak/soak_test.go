// Package soak runs medlar-node as separate processes on one machine, breaks
// things around them by a seed, and checks from what callers and leaves see that
// the promises of docs/invariants.md hold. Faults come from outside: signals to
// processes, loopback forwarders before the store, the VMs that others read from
// and the leaves, a store that is down, deaf or without its history, leaves that
// misbehave. Connections from VM to aggregator have no forwarder before them;
// processes that are stopped make them silent.
//
//	go test ./test/soak                               the regression seeds, and fresh ones for a minute
//	go test ./test/soak -seeds 50 -first 1 -parallel 3
//	go test ./test/soak -seed 17 -v                   one seed again
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "play this seed only")
	firstFlag = flag.Uint64("first", 1, "first seed of -seeds")
	seedsFlag = flag.Int("seeds", 0, "play this many seeds instead of the usual ones")
	freshFlag = flag.Duration("fresh", time.Minute, "play fresh seeds for this long")
)

const (
	// length of the time in which things break, and the number of breaks.
	length             = 10 * time.Second
	leastBreaks        = 6
	furtherBreaks      = 8
	shortest, furthest = 200 * time.Millisecond, 3 * time.Second
	// clientsPerNode is the number of callers of each node.
	clientsPerNode = 2
	// recovery is the time in which everything is served again after the last
	// break.
	recovery = 12 * time.Second
)

// regressions are seeds that have failed, each with its cause.
var regressions = map[uint64]string{
	401: "SIGHUP ended a process that was stopping",
	402: "SIGHUP, and a second SIGTERM, ended a process that was stopping",
	403: "SIGHUP ended a process that was stopping",
}

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "medlar-soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "medlar-node")
	if out, err := exec.Command("go", "build", "-race", "-o", program, "../../cmd/medlar-node").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build medlar-node: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against the seeds that have failed before, and against promises that
// break under faults that no other test draws.
func TestSoak(t *testing.T) {
	for _, seed := range chosen() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

func chosen() []uint64 {
	if *seedFlag != 0 {
		return []uint64{*seedFlag}
	}
	var out []uint64
	for i := range *seedsFlag {
		out = append(out, *firstFlag+uint64(i))
	}
	if len(out) > 0 {
		return out
	}
	for seed := range regressions {
		out = append(out, seed)
	}
	return append(out, 1, 2)
}

// Guards against what the known seeds do not draw. A seed that fails here is a
// finding: it goes into regressions.
func TestSoakFresh(t *testing.T) {
	if *seedFlag != 0 || *seedsFlag != 0 {
		t.Skip("seeds were chosen")
	}
	for end := time.Now().Add(*freshFlag); time.Now().Before(end) && !t.Failed(); {
		seed := rand.Uint64()
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	w := newWorld(t, program)
	assert.NilError(t, w.waitReady(recovery))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for i := range clientsPerNode * len(w.nodes) {
		n := w.nodes[i%len(w.nodes)]
		c := &client{node: n, name: fmt.Sprintf("%s.%d", n.name, i), rand: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		callers.Go(func() { c.run(ctx) })
	}
	played := w.breakThings(rand.New(rand.NewPCG(seed, 0)))
	recoveryErr := w.recovered()
	cancel()
	callers.Wait()
	w.check()
	if recoveryErr != nil {
		w.history.violation("recover", "%v", recoveryErr)
	}
	if err := w.logs(); err != nil {
		w.history.violation("log", "%v", err)
	}
	w.report(seed, played)
}

// breakThings plays the actions of a seed and returns when all have ended.
func (w *world) breakThings(rnd *rand.Rand) []string {
	var played []string
	var actionsDone sync.WaitGroup
	began := time.Now()
	// Half of the seeds are calm: among many faults hardly any bound in time could
	// be checked.
	from := actions
	if rnd.IntN(2) == 0 {
		from = slices.DeleteFunc(slices.Clone(actions), func(a action) bool { return !a.calm })
	}
	for range leastBreaks + rnd.IntN(furtherBreaks) {
		a := pick(rnd, from)
		at := time.Duration(rnd.Int64N(int64(length)))
		hold := shortest + time.Duration(rnd.Int64N(int64(furthest-shortest)))
		own := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		played = append(played, fmt.Sprintf("%5.2fs %s for %s", at.Seconds(), a.name, hold.Round(time.Millisecond)))
		actionsDone.Go(func() {
			time.Sleep(at - time.Since(began))
			a.run(w, own, hold)
		})
	}
	actionsDone.Wait()
	return played
}

// recovered waits until each node answers a query completely, and an order.
func (w *world) recovered() error {
	end := time.Now().Add(recovery)
	for i, n := range w.nodes {
		c := &client{node: n, name: fmt.Sprintf("recovered-%d", i), rand: rand.New(rand.NewPCG(0, 0))}
		for {
			err := c.complete()
			if err == nil {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s, %s after the last break: %w", n.name, recovery, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.hangUp()
	}
	return nil
}

// complete sends a query and says what its answer lacks.
func (c *client) complete() error {
	if c.conn == nil && !c.dial() {
		return fmt.Errorf("no connection")
	}
	c.sent++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), node: c.node.name, method: "GET", target: "/query/x", version: c.node.world.newest()}
	c.node.world.history.sending(r)
	c.exchange(r)
	c.node.world.history.ended(r)
	if r.err != nil || strings.EqualFold(r.header.Get("Connection"), "close") {
		c.hangUp()
	}
	if r.err != nil || r.status != 200 || r.header.Get("X-Missing-Parts") != "0" {
		return fmt.Errorf("status %d, %q missing, %v", r.status, r.header.Get("X-Missing-Parts"), r.err)
	}
	return nil
}

// report fails the test with what was broken and what went wrong, and keeps the
// logs of a seed that failed.
func (w *world) report(seed uint64, played []string) {
	h := w.history
	answered := 0
	for _, r := range h.order {
		if r.err == nil && r.status == 200 {
			answered++
		}
	}
	w.t.Logf("seed %d: %d requests, %d answered, %d breaks", seed, len(h.order), answered, len(played))
	if len(h.violations) == 0 {
		return
	}
	kept, err := os.MkdirTemp("", fmt.Sprintf("medlar-soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(w.dir))
	}
	for _, v := range h.violations[:min(len(h.violations), 20)] {
		w.t.Error(v)
	}
	w.t.Errorf("seed %d: %d violations; logs in %s (%v); played:\n%s", seed, len(h.violations), kept, err, strings.Join(played, "\n"))
}
