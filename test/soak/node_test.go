package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

const nodeSettings = `vm = %q
zone = %q
cpu_share = %g
cpu_speed = 1
callers = %q
ready = %q
admin = %q
peers = %q
seeds = [%s]
store = %q
first_start = %t
grace = "4s"
extra_ratio = 0.2
extra_slack = 58
extra_window = "10s"
cold_factor = 1.5
cold_slack = 5
log_verbosity = 0
`

// node is one process with the forwarders before what it reads from.
type node struct {
	world                        *world
	name, zone                   string
	cores                        float64
	callers, ready, admin, peers string
	// store and seed are the ways to the store and, for other nodes, to this one.
	store, seed *harness.Forwarder
	// ended is closed when the process is not started again.
	ended chan struct{}

	mu      sync.Mutex
	process *harness.Process
	// stopping and killed are true once an action has sent a signal that ends the
	// process gracefully or at once.
	stopping, killed bool
	// wasReady is true once the process was ready. A signal before may come before
	// the program listens for it.
	wasReady bool
	// boot counts the starts.
	boot int
}

// supervise keeps the process running until the world closes: as on the platform,
// a process that ended is started again after a short delay.
func (n *node) supervise() {
	defer close(n.ended)
	for first := true; ; first = false {
		p := n.start(first)
		<-p.Done()
		n.mu.Lock()
		expected := n.killed || n.stopping && (p.Err() == nil || !n.wasReady)
		n.mu.Unlock()
		if !expected {
			n.world.history.violation("exit", "%s ended by itself: %v", n.name, p.Err())
		}
		select {
		case <-n.world.closing:
			return
		case <-time.After(restartDelay):
		}
	}
}

// restartDelay is the time until a process that ended is started again.
const restartDelay = 300 * time.Millisecond

// start starts the process anew. Until it is ready it counts as disturbed.
func (n *node) start(first bool) *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.world.dir, n.name+".toml")
	assert.Check(n.world.t, os.WriteFile(path, []byte(n.settings(first)), 0o600))
	process, err := harness.StartProcess(n.world.dir, n.name, n.world.program, "--settings", path)
	if err != nil {
		panic(err)
	}
	n.process, n.stopping, n.killed, n.wasReady = process, false, false, false
	n.boot++
	end := n.world.history.begin("start", n.name)
	go func() {
		defer end()
		for process.Running() && !n.isReady() {
			time.Sleep(20 * time.Millisecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.wasReady = n.process == process && process.Running()
	}()
	return process
}

// settings returns the settings file. The first nodes of both zones read the
// store for the others.
func (n *node) settings(first bool) string {
	var seeds []string
	for _, other := range n.world.nodes {
		if !strings.HasSuffix(other.name, "-big") {
			continue
		}
		addr := other.seed.Address()
		if other == n {
			addr = n.peers
		}
		seeds = append(seeds, fmt.Sprintf("%q", addr))
	}
	return fmt.Sprintf(nodeSettings, n.name, n.zone, n.cores, n.callers, n.ready, n.admin, n.peers, strings.Join(seeds, ", "), n.store.Address(), first)
}

// signal sends a signal to the process if it runs. A signal that ends it is
// noted before.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return
	}
	n.stopping = n.stopping || s == syscall.SIGTERM
	n.killed = n.killed || s == syscall.SIGKILL
	if s == syscall.SIGKILL {
		// The next start ends the time in which the node is disturbed.
		n.world.history.begin("kill", n.name)()
	}
	_ = n.process.Signal(s)
}

// terminate stops the process gracefully, and kills it after the grace time.
func (n *node) terminate() {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-p.Done():
	case <-time.After(grace + time.Second):
		n.world.history.note(func(h *history) {
			if !h.disturbed(n.name, time.Now().Add(-grace-settled), time.Now()) {
				h.violations = append(h.violations, "grace: "+n.name+" did not stop in its grace time")
			}
		})
		n.world.history.begin("kill after the grace time", n.name)()
		n.mu.Lock()
		n.killed = true
		n.mu.Unlock()
		_ = p.Signal(syscall.SIGKILL)
	}
}

func (n *node) currentBoot() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boot
}

// isReady asks as the balancer does.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/-/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
