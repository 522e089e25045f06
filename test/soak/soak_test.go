// Package soak runs several medlar-node processes on one machine and injects faults
// that a seed determines. It then checks the invariants of docs/invariants.md
// against the requests that callers and leaves recorded. Faults are external:
// signals to processes; forwarders in front of the store, the seed nodes and the
// leaves; a store that is down, has stalled watches or lost its history; faulty
// leaves; and crowds of callers that do not end their requests. Connections from a VM to its aggregator have no forwarder. They become
// unresponsive when a process is paused.
//
//	go test ./test/soak                               the regression seeds, and fresh ones for a minute
//	go test ./test/soak -seeds 50 -first 1 -parallel 3
//	go test ./test/soak -seed 17 -v                   one seed again
package soak

import (
	"context"
	"flag"
	"fmt"
	"math"
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
	seedFlag  = flag.Uint64("seed", 0, "run this seed only")
	firstFlag = flag.Uint64("first", 1, "first seed of -seeds")
	seedsFlag = flag.Int("seeds", 0, "run this many seeds instead of the default ones")
	freshFlag = flag.Duration("fresh", time.Minute, "run fresh seeds for this long")
)

const (
	// faultPeriod is the time during which actions start.
	faultPeriod = 10 * time.Second
	// The number of actions is at least minFaults and less than
	// minFaults+extraFaults.
	minFaults                          = 6
	extraFaults                        = 8
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 3 * time.Second
	// clientsPerNode is the number of callers of each node.
	clientsPerNode = 2
	// recoveryBound limits the time until every node returns complete answers after
	// the last fault.
	recoveryBound = 12 * time.Second
)

// regressions maps seeds that have failed to the cause of the failure.
var regressions = map[uint64]string{
	401:  "SIGHUP ended a process that was stopping",
	402:  "SIGHUP, and a second SIGTERM, ended a process that was stopping",
	403:  "SIGHUP ended a process that was stopping",
	3240: "the soak took refusals of a faulty leaf, after the statement had ended, for statements",
	2046: "the soak itself waited for its own lock after a node that stopped late",
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

// Guards against the failures of the regression seeds, and against violated
// invariants under combinations of faults that no other test covers.
func TestSoak(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

func seeds() []uint64 {
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

// Guards against violated invariants under faults that the known seeds don't
// produce. A seed that fails here is to be added to regressions.
func TestSoakFresh(t *testing.T) {
	if *seedFlag != 0 || *seedsFlag != 0 {
		t.Skip("seeds were chosen")
	}
	for end := time.Now().Add(*freshFlag); time.Now().Before(end) && !t.Failed(); {
		seed := rand.Uint64()
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// runSeed runs a system under the faults of one seed and checks its history.
func runSeed(t *testing.T, seed uint64) {
	s := newSystem(t, program)
	assert.NilError(t, s.waitReady(recoveryBound))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for i := range clientsPerNode * len(s.nodes) {
		n := s.nodes[i%len(s.nodes)]
		c := &client{node: n, name: fmt.Sprintf("%s.%d", n.name, i), rand: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		callers.Go(func() { c.run(ctx) })
	}
	// These have generators of their own, so that the other actions of a seed stay the same.
	stated := make(chan struct{})
	go func() {
		defer close(stated)
		s.injectStatement(rand.New(rand.NewPCG(seed, math.MaxUint64)))
	}()
	restored := make(chan string, 1)
	go func() { restored <- s.injectRestore(rand.New(rand.NewPCG(seed, math.MaxUint64-1))) }()
	crowds := make(chan string, 1)
	go func() { crowds <- s.injectCrowds(rand.New(rand.NewPCG(seed, math.MaxUint64-2))) }()
	released := make(chan string, 1)
	go func() { released <- s.injectRelease(rand.New(rand.NewPCG(seed, math.MaxUint64-3))) }()
	injected := s.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	injected = append(injected, <-restored, <-crowds, <-released)
	<-stated
	recoveryErr := s.checkRecovery()
	cancel()
	callers.Wait()
	s.check()
	s.checkStatement()
	if recoveryErr != nil {
		s.history.addViolation("recover", "%v", recoveryErr)
	}
	if err := s.checkLogs(); err != nil {
		s.history.addViolation("log", "%v", err)
	}
	s.report(seed, append(injected, s.history.statement.String()))
}

// injectFaults runs the actions of a seed and returns their descriptions when all
// have completed.
func (s *system) injectFaults(rnd *rand.Rand) []string {
	var injected []string
	var running sync.WaitGroup
	began := time.Now()
	// Half of the seeds use only actions under which time bounds apply, because among
	// many other faults few time bounds could be checked.
	eligible := actions
	if rnd.IntN(2) == 0 {
		eligible = slices.DeleteFunc(slices.Clone(actions), func(a action) bool { return !a.boundsHold })
	}
	for range minFaults + rnd.IntN(extraFaults) {
		a := pickOne(rnd, eligible)
		at := time.Duration(rnd.Int64N(int64(faultPeriod)))
		duration := minFaultDuration + time.Duration(rnd.Int64N(int64(maxFaultDuration-minFaultDuration)))
		actionRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		injected = append(injected, fmt.Sprintf("%5.2fs %s for %s", at.Seconds(), a.name, duration.Round(time.Millisecond)))
		running.Go(func() {
			time.Sleep(at - time.Since(began))
			a.run(s, actionRand, duration)
		})
	}
	running.Wait()
	return injected
}

// checkRecovery waits until each node returns a complete answer to a query.
func (s *system) checkRecovery() error {
	end := time.Now().Add(recoveryBound)
	for i, n := range s.nodes {
		c := &client{node: n, name: fmt.Sprintf("recovered-%d", i), rand: rand.New(rand.NewPCG(0, 0))}
		for {
			err := c.checkComplete()
			if err == nil {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s, %s after the last fault: %w", n.name, recoveryBound, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.disconnect()
	}
	return nil
}

// checkComplete sends a query and returns an error unless its answer is complete.
func (c *client) checkComplete() error {
	if c.conn == nil && !c.dial() {
		return fmt.Errorf("no connection")
	}
	c.sent++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), node: c.node.name, method: "GET", target: "/query/x", version: c.node.system.newestVersion()}
	c.node.system.history.recordSent(r)
	c.exchange(r)
	c.node.system.history.recordCompleted(r)
	if r.err != nil || strings.EqualFold(r.header.Get("Connection"), "close") {
		c.disconnect()
	}
	if r.err != nil || r.status != 200 || r.header.Get("X-Missing-Parts") != "0" {
		return fmt.Errorf("status %d, %q missing, %v", r.status, r.header.Get("X-Missing-Parts"), r.err)
	}
	return nil
}

// report fails the test if there are violations. It prints them with the injected
// faults and keeps the logs of the processes.
func (s *system) report(seed uint64, injected []string) {
	h := s.history
	answered := 0
	for _, r := range h.completed {
		if r.err == nil && r.status == 200 {
			answered++
		}
	}
	s.t.Logf("seed %d: %d requests, %d answered, %d faults", seed, len(h.completed), answered, len(injected))
	if len(h.violations) == 0 {
		return
	}
	kept, err := os.MkdirTemp("", fmt.Sprintf("medlar-soak-%d-", seed))
	if err == nil {
		err = os.CopyFS(kept, os.DirFS(s.dir))
	}
	for _, v := range h.violations[:min(len(h.violations), 20)] {
		s.t.Error(v)
	}
	s.t.Errorf("seed %d: %d violations; logs in %s (%v); injected faults:\n%s", seed, len(h.violations), kept, err, strings.Join(injected, "\n"))
}
