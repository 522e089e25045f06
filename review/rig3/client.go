package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "pupu76.example"

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// attempt is one client attempt.
type attempt struct {
	id     string
	vm     *node
	sentAt time.Time
	status int
	err    error
	// inTouch is true if the VM's process had run for stableWindow when the attempt was sent.
	inTouch bool
}

// send sends one client attempt on a connection of its own and waits for its answer. The client
// leaves after patience, if that is not 0.
func (g *rig) send(n *node, method, path, body string, limit, patience time.Duration) attempt {
	n.mu.Lock()
	a := attempt{id: newID(), vm: n, sentAt: time.Now(), inTouch: time.Since(n.startedAt) > stableWindow}
	n.mu.Unlock()
	g.mu.Lock()
	g.sent[a.id] = a.sentAt
	g.mu.Unlock()
	wait := limit
	if patience > 0 {
		wait = patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	if body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.status = resp.StatusCode
	return a
}

// background sends ordinary requests to VMs until stop is closed.
func (g *rig) background(nodes func() []*node, path string, every time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		counts := make(map[string]int)
		var mu sync.Mutex
		for i := 0; ; i++ {
			select {
			case <-stop:
				mu.Lock()
				g.record("ordinary requests: %v", counts)
				mu.Unlock()
				return
			case <-tick.C:
			}
			vms := nodes()
			if len(vms) == 0 {
				continue
			}
			vm := vms[i%len(vms)]
			wg.Go(func() {
				a := g.send(vm, http.MethodPost, path+newID(), "one tank", 4*time.Second, 0)
				mu.Lock()
				defer mu.Unlock()
				key := fmt.Sprint(a.status)
				if a.err != nil {
					key = "no answer"
				}
				counts[key]++
				g.record("answered id=%s vm=%s sent=%.3f status=%s", a.id, vm.name, a.sentAt.Sub(g.started).Seconds(), key)
			})
		}
	})
	return &wg
}
