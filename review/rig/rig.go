// Package rig starts medlar-node processes for the cases of the review, with the stand-in of
// the store, and records what was sent, answered and run.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host is the host of all routes.
const Host = "pupu76.example"

// Settings are those of deploy/node.toml.tmpl for a small deployment.
const settings = `vm = %q
zone = %q
cpu_share = 0.4
cpu_speed = 1
callers = %q
ready = %q
admin = %q
peers = %q
seeds = %s
store = %q
first_start = true
grace = "6s"
extra_ratio = 0.2
extra_slack = 58
extra_window = "10s"
cold_factor = 1.5
cold_slack = 5
log_verbosity = 0
`

// Rig is one run of a case.
type Rig struct {
	Store *standin.Store
	// Trouble is false when the case runs without its disruption.
	Trouble bool

	dir    string
	mu     sync.Mutex
	record *os.File
	began  time.Time
	broken int
	nodes  []*Node
	// peers are the addresses at which the nodes serve each other; the first three are the
	// seeds.
	peers []string
}

// Node is one medlar-node process.
type Node struct {
	Name, Callers, Ready string

	rig     *Rig
	path    string
	command *exec.Cmd
	exited  chan struct{}
}

// maxSeeds is the greatest number of seeds that the platform names.
const maxSeeds = 3

// New returns a rig for a number of nodes that records into a file.
func New(recordPath string, nodes int) (*Rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "medlar-review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, began: time.Now()}
	for range nodes {
		r.peers = append(r.peers, freeAddress())
	}
	r.Logf("trouble %t", r.Trouble)
	return r, nil
}

// Logf adds a line to the record.
func (r *Rig) Logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// Break records that the rule was broken.
func (r *Rig) Break(format string, values ...any) {
	r.Logf("BROKEN: "+format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// Configure writes a configuration with routes to single services.
func (r *Rig) Configure(version int, services []string, routes ...map[string]any) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 36, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	r.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Route returns a route to one service.
func Route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "timeout_ms": 6000,
		"target_latency_ms": 400, "priority": 2, "service": service, "attempts": 2,
	}
}

// Entry returns the entry with which a leaf registers itself.
func Entry(service, zone, addr string) map[string]any {
	return map[string]any{
		"service": service, "addr": addr, "zone": zone, "version": "v1", "max_concurrency": 2, "state": "ready",
		"warmup_left_ms": 0, "seq": 4, "born": 1700000000000,
	}
}

// Start starts a node and waits until it is ready.
func (r *Rig) Start(name, zone string) (*Node, error) {
	n := &Node{Name: name, Callers: freeAddress(), Ready: freeAddress(), rig: r, path: filepath.Join(r.dir, name+".toml")}
	seeds, err := json.Marshal(r.peers[:min(len(r.peers), maxSeeds)])
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settings, name, zone, n.Callers, n.Ready, freeAddress(), r.peers[len(r.nodes)], seeds, r.Store.Addr())
	if err := os.WriteFile(n.path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, n)
	return n, n.Restart()
}

// Restart starts the process again and waits until it is ready.
func (n *Node) Restart() error {
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command("target/medlar-node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "MEDLARSWITCH_CONFIG=" + n.path}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	command := n.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	for range 500 {
		if n.IsReady() {
			n.rig.Logf("%s is ready", n.Name)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.Name)
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.rig.Logf("%s gets %s", n.Name, s)
	_ = n.command.Process.Signal(s)
}

// Exited is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// IsReady asks the node as the platform does.
func (n *Node) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Ready+"/-/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// LogLines returns the lines of a node's log that contain a text.
func (n *Node) LogLines(text string) []string {
	raw, _ := os.ReadFile(filepath.Join(n.rig.dir, n.Name+".log"))
	var out []string
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// Finish ends all processes and exits with the result of the case.
func (r *Rig) Finish(err error) {
	for _, n := range r.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	code := Held
	switch {
	case err != nil:
		r.Logf("could not run: %v", err)
		code = NotRun
	case r.broken > 0:
		code = Broken
	}
	r.Logf("result %d, %d times broken", code, r.broken)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
	os.Exit(code)
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
