package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leaf is a stand-in for one process of a server. It follows the users' protocol page.
type leaf struct {
	rig           *rig
	id            string
	service, zone string
	slots, queue  int
	work          time.Duration
	// crash returns after which time a request that has begun to run ends the leaf; 0 means never.
	crash func(r *http.Request) time.Duration
	// crashRate is the number of requests in a second above which the leaf ends while it is cold;
	// 0 means that it does not.
	crashRate int
	coldUntil time.Time
	recent    []time.Time

	server *http.Server
	addr   string
	// publicAddr is the address in the leaf's entry, if that is not addr.
	publicAddr string
	slot       chan struct{}
	mu         sync.Mutex
	// waiting is the number of requests that wait for a slot.
	waiting int
	dead    bool
	died    chan struct{}
	born    int64
}

// run is a request that has begun to run at a leaf.
type run struct {
	at     time.Time
	leaf   string
	id     string
	target string
}

// startLeaf starts a process of a leaf, without an entry in the store. An empty address means a
// free port.
func (g *rig) startLeaf(l *leaf, addr string) error {
	if addr == "" {
		addr = loopback + "200:0"
	}
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	l.rig, l.addr, l.born = g, ln.Addr().String(), time.Now().UnixMilli()
	l.slot, l.died = make(chan struct{}, l.slots), make(chan struct{})
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(ln) }()
	return nil
}

// entry returns the leaf's entry in the store.
func (l *leaf) entry(state string, warmupLeft time.Duration) map[string]any {
	addr := l.addr
	if l.publicAddr != "" {
		addr = l.publicAddr
	}
	return map[string]any{
		"service": l.service, "addr": addr, "zone": l.zone, "version": "v1", "max_concurrency": l.slots,
		"state": state, "warmup_left_ms": warmupLeft.Milliseconds(), "seq": 1, "born": l.born,
	}
}

func (l *leaf) register() { l.rig.store.Put("servers", l.id, l.entry("ready", 0)) }

// kill ends the leaf: its port refuses connections, and its connections are closed.
func (l *leaf) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return
	}
	l.dead = true
	close(l.died)
	// It closes the port first and then all connections.
	_ = l.server.Close()
}

func (l *leaf) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

// overloadedCold counts a request and reports whether it ends a leaf that is cold.
func (l *leaf) overloadedCold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashRate == 0 || now.After(l.coldUntil) {
		return false
	}
	for len(l.recent) > 0 && now.Sub(l.recent[0]) >= time.Second {
		l.recent = l.recent[1:]
	}
	l.recent = append(l.recent, now)
	return len(l.recent) > l.crashRate
}

// becomeCold makes the leaf cold for a time.
func (l *leaf) becomeCold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldUntil, l.recent = time.Now().Add(d), nil
}

func (l *leaf) load() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(l.slot), l.waiting, l.slots)
}

// acquire takes a slot, and returns false if the queue is full or the caller leaves.
func (l *leaf) acquire(ctx context.Context) (ok, full bool) {
	select {
	case l.slot <- struct{}{}:
		return true, false
	default:
	}
	l.mu.Lock()
	if l.waiting >= l.queue {
		l.mu.Unlock()
		return false, true
	}
	l.waiting++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
	}()
	select {
	case l.slot <- struct{}{}:
		return true, false
	case <-ctx.Done():
		return false, false
	}
}

// ServeHTTP implements http.Handler.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Instance-Id", l.id)
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if r.URL.Path == "/healthz" {
		h.Set("X-Server-Load", l.load())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
		l.rig.record("421 leaf=%s id=%s", l.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	l.rig.arrived(l, arrived, id)
	if l.overloadedCold(arrived) {
		l.rig.record("ends at over %d requests in a second while cold: leaf=%s", l.crashRate, l.id)
		l.kill()
		panic(http.ErrAbortHandler)
	}
	ok, full := l.acquire(r.Context())
	if full {
		h.Set("X-Server-Load", l.load())
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !ok {
		return
	}
	defer func() { <-l.slot }()
	l.rig.began(l, id, r.RequestURI)
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if after := l.crash; after != nil {
		if d := after(r); d > 0 {
			// Once the request has begun to run, nothing keeps it from ending the leaf.
			time.Sleep(d)
			l.rig.crashed(l, id)
			panic(http.ErrAbortHandler)
		}
	}
	select {
	case <-time.After(l.work):
	case <-time.After(limit - time.Since(arrived)):
		h.Set("X-Response-Stamp", l.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		if l.isDead() {
			panic(http.ErrAbortHandler)
		}
		return
	case <-l.died:
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Server-Load", l.load())
	h.Set("X-Response-Stamp", l.id+"."+id)
	text := strings.Repeat("r", 200) + id + string(body)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
