package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateLeave: all VMs are stopped and started in turn, while the store loses the answers to some of
// their writes and does these later. Then the leaves of a service are replaced by cold ones.
func lateLeave(g *rig) (bool, string, error) {
	const (
		warmupPerS = 50.0
		// bound is warmup_per_s x warmup_factor + warmup_slack.
		bound  = warmupPerS*1.5 + 5
		warmup = 4 * time.Second
	)
	path, err := newStorePath(g)
	if err != nil {
		return false, "", err
	}
	defer path.server.Close()
	g.storeAddr = path.addr
	g.store.Put("config", "main", ordersConfig(warmupPerS))
	newLeaf := func(zone string) *leaf {
		return &leaf{service: "kafi81c", zone: zone, slots: 4, queue: 40, work: 10 * time.Millisecond}
	}
	var old []*leaf
	for _, zone := range zones[:2] {
		l := newLeaf(zone)
		if err := g.addLeaf(l); err != nil {
			return false, "", err
		}
		old = append(old, l)
	}
	if err := g.addNodes(zones, 3); err != nil {
		return false, "", err
	}
	if err := startNodes(g.nodes, true); err != nil {
		return false, "", err
	}
	time.Sleep(3 * time.Second)
	for i, n := range g.nodes {
		if g.trouble && i%2 == 1 {
			path.mu.Lock()
			path.lateLeaves[n.name] = true
			path.mu.Unlock()
		}
		n.signal(syscall.SIGTERM)
		<-n.done
		time.Sleep(300 * time.Millisecond)
		if err := startNodes([]*node{n}, false); err != nil {
			return false, "", err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	g.record("member entries: %d; writes %d, answers lost %d", path.members(), path.writes, path.lost)
	stop := make(chan struct{})
	var loads []*sync.WaitGroup
	for range 3 {
		loads = append(loads, g.background(func() []*node { return g.nodes }, orders, 8*time.Millisecond, stop))
	}
	time.Sleep(4 * time.Second)
	var cold []*leaf
	for _, zone := range zones[:2] {
		l := newLeaf(zone)
		l.coldFor = warmup
		if err := g.addLeaf(l); err != nil {
			return false, "", err
		}
		cold = append(cold, l)
	}
	started := time.Now()
	for _, l := range old {
		g.store.Put("servers", l.id, l.entry("draining", 0))
	}
	time.Sleep(warmup)
	close(stop)
	for _, load := range loads {
		load.Wait()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for _, l := range cold {
		most = max(most, g.mostInOneSecond(l.id, started, started.Add(warmup)))
	}
	return float64(most) > bound, fmt.Sprintf("a cold leaf got up to %d requests in one second, %.0f allowed; %d of %d machines have a member entry, %d of %d writes were done late and not answered",
		most, bound, path.members(), len(g.nodes), path.lost, path.writes), nil
}
