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
memory_mb = 64
descriptors = 400
log_verbosity = 0
`

// node is one medlar-node process with the forwarders in front of the store and of
// its peer address.
type node struct {
	system                       *system
	name, zone                   string
	cores                        float64
	callers, ready, admin, peers string
	// storePath forwards the node's connections to the store, and seedPath the
	// connections of other nodes to this one as a seed.
	storePath, seedPath *harness.Forwarder
	// stopped is closed when supervise returns.
	stopped chan struct{}

	mu      sync.Mutex
	process *harness.Process
	// stopping is true after SIGTERM was sent to the process, and killed after
	// SIGKILL.
	stopping, killed bool
	// wasReady is true once the process has been ready. A signal sent earlier may
	// arrive before the program handles signals.
	wasReady bool
	// boot is the number of starts.
	boot int
}

// supervise keeps the process running until the system closes. As on the platform,
// a process that exits is started again after a short delay.
func (n *node) supervise() {
	defer close(n.stopped)
	for first := true; ; first = false {
		p := n.start(first)
		<-p.Done()
		n.mu.Lock()
		expected := n.killed || n.stopping && (p.Err() == nil || !n.wasReady)
		n.mu.Unlock()
		if !expected {
			n.system.history.addViolation("exit", "%s exited without a stop signal: %v", n.name, p.Err())
		}
		select {
		case <-n.system.closing:
			return
		case <-time.After(restartDelay):
		}
	}
}

// restartDelay is the time until a process that exited is started again.
const restartDelay = 300 * time.Millisecond

// start starts a new process. A fault is recorded until the process is ready.
func (n *node) start(first bool) *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.system.dir, n.name+".toml")
	assert.Check(n.system.t, os.WriteFile(path, []byte(n.settings(first)), 0o600))
	process, err := harness.StartProcess(n.system.dir, n.name, n.system.program, "--settings", path)
	if err != nil {
		panic(err)
	}
	n.process, n.stopping, n.killed, n.wasReady = process, false, false, false
	n.boot++
	end := n.system.history.beginFault("start", n.name)
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

// settings returns the content of the settings file. The seeds are the "-big" nodes
// of both zones, which read the store for the others.
func (n *node) settings(first bool) string {
	var seeds []string
	for _, other := range n.system.nodes {
		if !strings.HasSuffix(other.name, "-big") {
			continue
		}
		addr := other.seedPath.Address()
		if other == n {
			addr = n.peers
		}
		seeds = append(seeds, fmt.Sprintf("%q", addr))
	}
	return fmt.Sprintf(nodeSettings, n.name, n.zone, n.cores, n.callers, n.ready, n.admin, n.peers, strings.Join(seeds, ", "), n.storePath.Address(), first)
}

// signal sends a signal to the process if it runs. SIGTERM and SIGKILL are recorded
// before they are sent.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return
	}
	n.stopping = n.stopping || s == syscall.SIGTERM
	n.killed = n.killed || s == syscall.SIGKILL
	if s == syscall.SIGKILL {
		// The fault ends at once because the next start records its own one.
		n.system.history.beginFault("kill", n.name)()
	}
	_ = n.process.Signal(s)
}

// terminate sends SIGTERM, and SIGKILL if the process doesn't exit within its grace
// period.
func (n *node) terminate() {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-p.Done():
	case <-time.After(gracePeriod + time.Second):
		if !n.system.history.hasFault(n.name, time.Now().Add(-gracePeriod-settleTime), time.Now()) {
			n.system.history.addViolation("grace", "%s did not stop within its grace period", n.name)
		}
		n.system.history.beginFault("kill after the grace period", n.name)()
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

// isReady queries the readiness endpoint as the balancer does.
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
