package main

import (
	"fmt"
	"sync"
	"time"
)

// coldAgain: under more traffic than the leaves of a service take, one of them becomes cold and says so
// at once.
func coldAgain(g *rig) (bool, string, error) {
	const (
		warmupPerS = 2.0
		// bound is warmup_per_s x warmup_factor + warmup_slack.
		bound  = warmupPerS*1.5 + 5
		warmup = 3 * time.Second
	)
	conf := ordersConfig(warmupPerS)
	conf["services"].([]map[string]any)[0]["max_conns"] = 26
	g.store.Put("config", "main", conf)
	var leaves []*leaf
	for _, zone := range zones {
		// "While cold, the leaf [...] crashes at a rate well above that".
		l := &leaf{service: "kafi81c", zone: zone, slots: 2, queue: 12, work: 20 * time.Millisecond, crashRate: 3 * bound}
		if err := g.addLeaf(l); err != nil {
			return false, "", err
		}
		leaves = append(leaves, l)
	}
	if err := g.addNodes(zones, 3); err != nil {
		return false, "", err
	}
	if err := startNodes(g.nodes, true); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var loads []*sync.WaitGroup
	for range 2 {
		loads = append(loads, g.background(func() []*node { return g.nodes }, orders, 6*time.Millisecond, stop))
	}
	time.Sleep(3 * time.Second)
	cold, coldFrom := leaves[0], time.Now()
	if g.trouble {
		cold.becomeCold(warmup)
		g.store.Put("servers", cold.id, cold.entry("ready", warmup))
		g.record("cold, check-in leaf=%s warmup_left_ms=%d", cold.id, warmup.Milliseconds())
	}
	time.Sleep(warmup)
	close(stop)
	for _, load := range loads {
		load.Wait()
	}
	if !g.trouble {
		return false, "no leaf became cold", nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	most := g.mostInOneSecond(cold.id, coldFrom, coldFrom.Add(warmup))
	return float64(most) > bound, fmt.Sprintf("the cold leaf got up to %d requests in one second, %.0f allowed", most, bound), nil
}

// mostInOneSecond returns the greatest number of requests that were sent and reached a leaf inside one
// second, of those that reached it between two times. The caller holds mu.
func (g *rig) mostInOneSecond(leaf string, from, to time.Time) int {
	most := 0
	for _, last := range g.arrivals {
		if last.leaf != leaf || last.at.Before(from) || last.at.After(to) {
			continue
		}
		begin, count := last.at.Add(-time.Second), 0
		for _, a := range g.arrivals {
			if a.leaf == leaf && !a.at.Before(from) && !a.at.After(last.at) && a.at.After(begin) && g.sent[a.id].After(begin) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
