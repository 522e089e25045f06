package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// stableWindow is stable_window_ms of the site.
	stableWindow = 4 * time.Second
	// maxCrashRetries is how many retries of a request that crashes leaves may reach leaves later
	// than stableWindow after the third crash (rule BUDGET).
	maxCrashRetries = 3
	// crashDownTime is how long a leaf that has crashed is away ("back after some seconds").
	crashDownTime = 2 * time.Second
	// silentBeats is after how long the entry of a leaf that is silent is removed: three check-in
	// intervals.
	silentBeats = 3600 * time.Millisecond
	orders      = "/timi402/"
	crashPath   = orders + "c1a5"
)

var zones = []string{"sur-valdivia", "sur-osorno", "sur-pmontt"}

// ordersConfig returns a configuration with one route, whose requests may run once, to one service.
func ordersConfig(warmupPerS float64) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-s4qmv29", "host": host, "path_prefix": orders, "kind": "non_idempotent", "timeout_ms": 4000,
			"target_latency_ms": 400, "priority": 2, "service": "kafi81c", "attempts": 2,
		}},
		"services": []map[string]any{{
			"name": "kafi81c", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": warmupPerS,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// crashRig starts 9 VMs and 11 leaves of one service. A request to crashPath ends each leaf that
// begins to run it, after the given time; another process of the leaf starts crashDownTime later.
func crashRig(g *rig, after time.Duration) error {
	g.store.Put("config", "main", ordersConfig(0))
	crashing := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, crashPath) {
			return after
		}
		return 0
	}
	newLeaf := func(zone string) *leaf {
		return &leaf{service: "kafi81c", zone: zone, slots: 2, queue: 8, work: 90 * time.Millisecond, crash: crashing}
	}
	g.onCrash = func(l *leaf) {
		go func() {
			time.Sleep(silentBeats)
			g.store.Delete("servers", l.id)
		}()
		time.Sleep(crashDownTime)
		if err := g.addLeaf(newLeaf(l.zone)); err != nil {
			g.record("leaf did not start again: %v", err)
		}
	}
	for i := range 11 {
		if err := g.addLeaf(newLeaf(zones[i%len(zones)])); err != nil {
			return err
		}
	}
	if err := g.addNodes(zones, 3); err != nil {
		return err
	}
	return startNodes(g.nodes, true)
}

// crashCaller is the caller of the request that crashes leaves. It sends it again and again, each
// time as a request of its own at the next VM.
type crashCaller struct {
	g        *rig
	next     int
	attempts []attempt
}

// send sends the request once more to the next of the VMs. The caller leaves after patience, if that is
// not 0.
func (c *crashCaller) send(vms []*node, patience time.Duration) {
	vm := vms[c.next%len(vms)]
	c.next++
	vm.mu.Lock()
	up := time.Since(vm.startedAt)
	vm.mu.Unlock()
	a := c.g.send(vm, http.MethodPost, crashPath, "two tanks", 4*time.Second, patience)
	c.attempts = append(c.attempts, a)
	c.g.record("crashing request id=%s vm=%s up=%.1fs status=%d err=%v", a.id, vm.name, up.Seconds(), a.status, a.err)
}

// verdict counts the retries that reached leaves later than stableWindow after the third crash and
// were sent by VMs in touch: their processes had run for stableWindow.
func (c *crashCaller) verdict() (bool, string) {
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.crashes) < 3 {
		return false, fmt.Sprintf("%d crashes in all, of %d attempts", len(g.crashes), len(c.attempts))
	}
	from := g.crashes[2].at.Add(stableWindow)
	reached := make(map[string]bool)
	for _, r := range g.runs {
		if r.target == crashPath && r.at.After(from) {
			reached[r.id] = true
		}
	}
	count, outOfTouch := 0, 0
	for _, a := range c.attempts {
		if !reached[a.id] {
			continue
		}
		if a.inTouch {
			count++
		} else {
			outOfTouch++
		}
	}
	return count > maxCrashRetries, fmt.Sprintf("%d crashes in all, of %d attempts; %d retries reached leaves later than %s after the third crash, sent by VMs in touch (%d allowed), and %d by others",
		len(g.crashes), len(c.attempts), count, stableWindow, maxCrashRetries, outOfTouch)
}

// killed: all processes are killed at the same moment, twice, and start again; meanwhile the request
// comes again.
func killed(g *rig) (bool, string, error) {
	if err := crashRig(g, 5*time.Millisecond); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	load := g.background(func() []*node { return g.nodes }, orders, 15*time.Millisecond, stop)
	time.Sleep(5 * time.Second)
	caller := &crashCaller{g: g}
	for round := range 3 {
		if round > 0 && g.trouble {
			for _, n := range g.nodes {
				n.signal(syscall.SIGKILL)
			}
			time.Sleep(500 * time.Millisecond)
			if err := startNodes(g.nodes, false); err != nil {
				return false, "", err
			}
		}
		for range 4 {
			time.Sleep(6 * time.Second)
			caller.send(g.nodes, 0)
		}
	}
	close(stop)
	load.Wait()
	isBroken, seen := caller.verdict()
	return isBroken, seen, nil
}

// givesUp: the caller of the request leaves 100 ms after it has sent it, each time.
func givesUp(g *rig) (bool, string, error) {
	if err := crashRig(g, 150*time.Millisecond); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	load := g.background(func() []*node { return g.nodes }, orders, 15*time.Millisecond, stop)
	time.Sleep(5 * time.Second)
	patience := time.Duration(0)
	if g.trouble {
		patience = 100 * time.Millisecond
	}
	caller := &crashCaller{g: g}
	for range 16 {
		caller.send(g.nodes, patience)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	load.Wait()
	isBroken, seen := caller.verdict()
	return isBroken, seen, nil
}
