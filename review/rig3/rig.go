package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// rig holds the processes of the system and the stand-ins of one case.
type rig struct {
	root, dir string
	// command is that of the deploy file.
	command []string
	trouble bool
	started time.Time
	store   *standin.Store
	nodes   []*node

	mu     sync.Mutex
	log    *os.File
	leaves map[string]*leaf
	runs   []run
	// arrivals are the requests that reached a leaf, those that it rejected too; 421 is none.
	arrivals []run
	// sent is when clients sent their requests.
	sent    map[string]time.Time
	crashes []crash
	// onCrash is called after a request has ended a leaf.
	onCrash func(l *leaf)
	// bootCount numbers the processes of leaves.
	bootCount int
}

// runLine is the command of the only role in the deploy file.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// crash is the end of a leaf because of a request.
type crash struct {
	at   time.Time
	leaf string
	id   string
}

// node is one VM.
type node struct {
	rig                          *rig
	name, zone                   string
	callers, ready, admin, peers string
	seeds                        []string
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	startedAt                    time.Time
	done                         chan struct{}
}

func newRig(root, dir, record string, trouble bool) (*rig, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		return nil, errors.New("the deploy file names no command")
	}
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	return &rig{root: root, dir: dir, command: strings.Fields(string(command[1])), trouble: trouble, started: time.Now(), store: store, log: log, leaves: make(map[string]*leaf), sent: make(map[string]time.Time)}, nil
}

// record writes a line to record.txt.
func (g *rig) record(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.write(time.Now(), format, args...)
}

func (g *rig) write(at time.Time, format string, args ...any) {
	fmt.Fprintf(g.log, "%8.3f %s\n", at.Sub(g.started).Seconds(), fmt.Sprintf(format, args...))
}

func (g *rig) arrived(l *leaf, at time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals = append(g.arrivals, run{at: at, leaf: l.id, id: id})
}

func (g *rig) began(l *leaf, id, target string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := time.Now()
	g.runs = append(g.runs, run{at: at, leaf: l.id, id: id, target: target})
	g.write(at, "run leaf=%s id=%s target=%s", l.id, id, target)
}

func (g *rig) crashed(l *leaf, id string) {
	g.mu.Lock()
	at := time.Now()
	g.crashes = append(g.crashes, crash{at: at, leaf: l.id, id: id})
	g.write(at, "crash leaf=%s id=%s", l.id, id)
	after := g.onCrash
	g.mu.Unlock()
	l.kill()
	if after != nil {
		go after(l)
	}
}

// addLeaf starts and registers a new process of a leaf under an ID of its own.
func (g *rig) addLeaf(l *leaf) error {
	g.mu.Lock()
	g.bootCount++
	l.id = fmt.Sprintf("i-%04d", g.bootCount)
	g.leaves[l.id] = l
	g.mu.Unlock()
	if err := g.startLeaf(l, ""); err != nil {
		return err
	}
	l.register()
	g.record("leaf id=%s service=%s zone=%s addr=%s", l.id, l.service, l.zone, l.addr)
	return nil
}

// loopback begins the loopback addresses of this run, so that those of two runs do not meet.
var loopback = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%200, os.Getpid()/200%250)

// Free ports of VMs are looked for between these two, below those that the system gives to clients.
const (
	firstPort = 10000
	lastPort  = 30000
)

// freePorts returns ports that are free on the address of the first VM.
func freePorts(count int) ([]string, error) {
	var out []string
	for range 1000 {
		port := strconv.Itoa(firstPort + rand.IntN(lastPort-firstPort))
		ln, err := net.Listen("tcp", net.JoinHostPort(loopback+"1", port))
		if err != nil || slices.Contains(out, port) {
			continue
		}
		_ = ln.Close()
		if out = append(out, port); len(out) == count {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// addNodes adds VMs in zones, of which the first one of each zone is a seed.
func (g *rig) addNodes(zones []string, perZone int) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	var seeds []string
	for _, zone := range zones {
		for i := range perZone {
			n := &node{rig: g, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
			ip := loopback + strconv.Itoa(len(g.nodes)+1)
			n.callers, n.ready = net.JoinHostPort(ip, ports[0]), net.JoinHostPort(ip, ports[1])
			n.admin, n.peers = net.JoinHostPort(ip, ports[2]), net.JoinHostPort(ip, ports[3])
			if i == 0 {
				seeds = append(seeds, n.peers)
			}
			g.nodes = append(g.nodes, n)
		}
	}
	for _, n := range g.nodes {
		n.seeds = seeds
	}
	return nil
}

func (n *node) isSeed() bool {
	for _, s := range n.seeds {
		if s == n.peers {
			return true
		}
	}
	return false
}

// settings fills in the settings' template as the platform does.
func (n *node) settings(first bool) (string, error) {
	text, err := os.ReadFile(filepath.Join(n.rig.root, "deploy", "node.toml.tmpl"))
	if err != nil {
		return "", err
	}
	quote := func(v any) string { b, _ := json.Marshal(v); return string(b) }
	host, port, _ := net.SplitHostPort(n.admin)
	values := []string{
		"{{node_name|json}}", quote(n.name), "{{zone|json}}", quote(n.zone),
		"{{limits.cpu_share}}", "0.4", "{{limits.cores}}", "1",
		"{{listen.front|json}}", quote(n.callers), "{{listen.ready|json}}", quote(n.ready),
		"{{ip}}", host, "{{port_range.0}}", port, "{{listen.control|json}}", quote(n.peers),
		"{{seeds|json}}", quote(n.seeds), "{{platform.addr|json}}", quote(n.rig.store.Addr()),
		"{{bootstrap|json}}", quote(first), "{{rule_params.grace_s}}", "6",
		"{{rule_params.retry_ratio}}", "0.2", "{{rule_params.retry_slack}}", "58", "{{rule_params.budget_window_s}}", "10",
		"{{rule_params.warmup_factor}}", "1.5", "{{rule_params.warmup_slack}}", "5",
		"{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100",
	}
	out := strings.NewReplacer(values...).Replace(string(text))
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("the template has a placeholder that this rig does not know: %s", out)
	}
	return out, nil
}

// start starts the VM's process with the command of the deploy file.
func (n *node) start(first bool) error {
	settings, err := n.settings(first)
	if err != nil {
		return err
	}
	path := filepath.Join(n.rig.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.rig.command[0], n.rig.command[1:]...)
	cmd.Dir = n.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MEDLARSWITCH_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.startedAt, n.done = cmd, time.Now(), done
	n.mu.Unlock()
	n.rig.record("start vm=%s seed=%t", n.name, n.isSeed())
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		n.rig.record("end vm=%s err=%v", n.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the VM's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rig.record("signal vm=%s %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startNodes starts VMs and waits until they are ready.
func startNodes(nodes []*node, first bool) error {
	for _, n := range nodes {
		if err := n.start(first); err != nil {
			return err
		}
	}
	for _, n := range nodes {
		for end := time.Now().Add(15 * time.Second); !n.isReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
		}
		n.rig.record("ready vm=%s", n.name)
	}
	return nil
}

// close ends all processes and stand-ins.
func (g *rig) close() {
	for _, n := range g.nodes {
		n.mu.Lock()
		cmd, done := n.cmd, n.done
		n.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		<-done
	}
	g.mu.Lock()
	leaves := make([]*leaf, 0, len(g.leaves))
	for _, l := range g.leaves {
		leaves = append(leaves, l)
	}
	g.mu.Unlock()
	for _, l := range leaves {
		l.kill()
	}
	g.store.Close()
	_ = g.log.Close()
}
