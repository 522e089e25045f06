package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// oddMessage: a VM asks its seeds for a kind of object that they do not know, as one of a later version
// may. The platform starts a process that ends again, and the VM asks again.
func oddMessage(g *rig) (bool, string, error) {
	const (
		rounds = 3
		// restartDelay is after how long the platform starts a process again that has ended.
		restartDelay = 500 * time.Millisecond
		// wait is for how long a process is watched after a message.
		wait = 8 * time.Second
	)
	g.store.Put("config", "main", ordersConfig(0))
	for i := range 11 {
		if err := g.addLeaf(&leaf{service: "kafi81c", zone: zones[i%len(zones)], slots: 2, queue: 8, work: 90 * time.Millisecond}); err != nil {
			return false, "", err
		}
	}
	if err := g.addNodes(zones, 3); err != nil {
		return false, "", err
	}
	if err := startNodes(g.nodes, true); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	load := g.background(func() []*node { return g.nodes }, orders, 15*time.Millisecond, stop)
	time.Sleep(5 * time.Second)
	kind := uint8(len(directory.Kinds))
	if !g.trouble {
		kind = uint8(directory.KindEvacuations)
	}
	ends := make(map[string]int)
	var failure error
	var mu sync.Mutex
	for range rounds {
		var asked sync.WaitGroup
		for _, n := range g.nodes {
			if !n.isSeed() {
				continue
			}
			asked.Go(func() {
				ended, err := askAndWatch(n, kind, wait)
				if err == nil && ended {
					time.Sleep(restartDelay)
					err = startNodes([]*node{n}, false)
				}
				mu.Lock()
				defer mu.Unlock()
				if ended {
					ends[n.name]++
				}
				if err != nil {
					failure = err
				}
			})
		}
		asked.Wait()
		if failure != nil {
			return false, "", failure
		}
		time.Sleep(time.Second)
	}
	close(stop)
	load.Wait()
	often := 0
	for _, count := range ends {
		if count >= rounds {
			often++
		}
	}
	// "on a tenth of the machines in use (two at least) processes end by themselves three times".
	return often >= 2, fmt.Sprintf("processes that ended by themselves after one message each: %v; %d of %d machines %d times", ends, often, len(g.nodes), rounds), nil
}

// askAndWatch sends one request for the objects of a kind to a VM, and reports whether its process ends
// within a time.
func askAndWatch(n *node, kind uint8, wait time.Duration) (ended bool, err error) {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	conn, err := net.DialTimeout("tcp", n.peers, time.Second)
	if err != nil {
		return false, err
	}
	self := wire.Hello{VM: "edge-sur-pmontt-4", Boot: topology.BootID(rand.Uint64()), Zone: topology.Zone(zones[2]), Role: wire.RoleNode}
	peer, err := wire.NewPeer(context.Background(), conn, self, wire.Options{
		Clock: timeline.NewClock(time.Now), Handler: func(*wire.Peer, *wire.Envelope) {}, Stats: wire.NewStats(metrics.NewRegistry()),
	})
	if err != nil {
		return false, err
	}
	defer peer.Close()
	n.rig.record("message vm=%s feed request of kind %d", n.name, kind)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_, err = peer.Call(ctx, wire.KindFeedRequest, "", topology.Snapshot{}, message.FeedRequest{Kind: kind, List: true})
	n.rig.record("answer vm=%s err=%v", n.name, err)
	select {
	case <-done:
		return true, nil
	case <-ctx.Done():
		return false, nil
	}
}
