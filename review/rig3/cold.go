package main

import (
	"fmt"
	"time"
)

// coldReturn: a zone is evacuated; its leaf becomes cold shortly before it is taken back.
func coldReturn(g *rig) (bool, string, error) {
	const (
		warmupPerS = 2.0
		// bound is warmup_per_s x warmup_factor + warmup_slack.
		bound  = warmupPerS*1.5 + 5
		warmup = 3 * time.Second
		beat   = 1200 * time.Millisecond
	)
	g.store.Put("config", "main", ordersConfig(warmupPerS))
	var leaves []*leaf
	for _, zone := range zones {
		// "While cold, the leaf [...] crashes at a rate well above that".
		l := &leaf{service: "kafi81c", zone: zone, slots: 2, queue: 8, work: 40 * time.Millisecond, crashRate: 2 * bound}
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
	stop := make(chan struct{})
	load := g.background(func() []*node { return g.nodes }, orders, 10*time.Millisecond, stop)
	time.Sleep(6 * time.Second)
	cold := leaves[0]
	var coldFrom time.Time
	if g.trouble {
		g.record("evacuated zone=%s", cold.zone)
		g.store.Put("evacuations", cold.zone, map[string]any{})
		time.Sleep(6 * time.Second)
		coldFrom = time.Now()
		cold.becomeCold(warmup)
		g.record("cold leaf=%s", cold.id)
		time.Sleep(100 * time.Millisecond)
		g.store.Delete("evacuations", cold.zone)
		g.record("taken back zone=%s", cold.zone)
		time.Sleep(beat - 200*time.Millisecond)
		if !cold.isDead() {
			g.store.Put("servers", cold.id, cold.entry("ready", warmup-time.Since(coldFrom)))
			g.record("check-in leaf=%s warmup_left_ms=%d", cold.id, (warmup - time.Since(coldFrom)).Milliseconds())
		}
		time.Sleep(5 * time.Second)
	} else {
		time.Sleep(11 * time.Second)
	}
	close(stop)
	load.Wait()
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
