package main

import (
	"fmt"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// oldCheckIn: a leaf is cut off, crashes behind the cut and starts again under its ID. Its new process
// checks in after the cut and then leaves; a check-in of the process before it, which the cut has held
// up, arrives after that.
func oldCheckIn(g *rig) (bool, string, error) {
	const (
		drain = 3 * time.Second
		cut   = 6500 * time.Millisecond
		// checkIn is when the new process checks in for the first time after the end of the cut. It does
		// so again each 1.2 s; that changes nothing but seq before the leaf has left.
		checkIn = 900 * time.Millisecond
		// heldUp is when the held-up check-in arrives after the end of the cut: its sender's system
		// has sent it again 0.2, 0.6, 1.4, 3 and 6.2 s after it was sent, and does so again after 12.6 s.
		heldUp = 6100 * time.Millisecond
		// left is when the leaf exits, before its next check-in at 6.9 s.
		left = 6850 * time.Millisecond
	)
	g.store.Put("config", "main", ordersConfig(0))
	newLeaf := func(zone string) *leaf {
		return &leaf{service: "kafi81c", zone: zone, slots: 2, queue: 8, work: 40 * time.Millisecond}
	}
	for _, zone := range zones[1:] {
		if err := g.addLeaf(newLeaf(zone)); err != nil {
			return false, "", err
		}
	}
	first := newLeaf(zones[0])
	first.id = "i-7f3a91c2"
	if err := g.startLeaf(first, ""); err != nil {
		return false, "", err
	}
	defer first.kill()
	path, err := harness.NewForwarder(loopback+"201:0", first.addr)
	if err != nil {
		return false, "", err
	}
	defer path.Close()
	first.publicAddr = path.Address()
	first.register()
	g.record("leaf id=%s born=%d", first.id, first.born)
	if err := g.addNodes(zones, 3); err != nil {
		return false, "", err
	}
	if err := startNodes(g.nodes, true); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	load := g.background(func() []*node { return g.nodes }, orders, 10*time.Millisecond, stop)
	time.Sleep(6 * time.Second)
	last := first
	if g.trouble {
		g.record("cut off leaf=%s; its check-in %v is on its way", first.id, first.entry("ready", 0))
		path.HoldNewConnections(true)
		path.DropTraffic(harness.ToServer, harness.FromServer)
		time.Sleep(time.Second)
		first.kill()
		g.record("crash leaf=%s", first.id)
		time.Sleep(time.Second)
		last = newLeaf(zones[0])
		last.id, last.publicAddr = first.id, first.publicAddr
		if err := g.startLeaf(last, first.addr); err != nil {
			return false, "", err
		}
		defer last.kill()
		g.record("start leaf=%s born=%d", last.id, last.born)
		time.Sleep(silentBeats - 2*time.Second)
		g.store.Delete("servers", first.id)
		time.Sleep(cut - silentBeats)
		path.HoldNewConnections(false)
		path.Reset()
		g.record("end of the cut leaf=%s", last.id)
	} else {
		time.Sleep(cut)
	}
	healed := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(healed.Add(after))) }
	at(checkIn)
	last.register()
	g.record("check-in leaf=%s state=ready born=%d", last.id, last.born)
	at(checkIn + 400*time.Millisecond)
	g.store.Put("servers", last.id, last.entry("draining", 0))
	confirmed := time.Now()
	g.record("check-in leaf=%s state=draining born=%d", last.id, last.born)
	at(heldUp)
	if g.trouble {
		g.store.Put("servers", first.id, first.entry("ready", 0))
		g.record("check-in that was held up leaf=%s state=ready born=%d", first.id, first.born)
	}
	at(left)
	last.kill()
	g.store.Delete("servers", last.id)
	g.record("leaf has left leaf=%s", last.id)
	time.Sleep(time.Second)
	close(stop)
	load.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	late := 0
	for _, a := range g.arrivals {
		if a.leaf == last.id && a.at.After(confirmed.Add(drain)) {
			late++
		}
	}
	return late > 0, fmt.Sprintf("%d requests reached the leaf later than %s after the store had confirmed that it is draining", late, drain), nil
}
