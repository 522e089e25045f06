// Command 2 is the case of a planned stop under steady load: requests that wait inside the
// node when its grace period ends.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarswitch/medlarswitch/review/rig"
)

const (
	// clients send one request after the other. The leaves' four slots serve 8 a second, so
	// that each request takes about 4.5 s of the 6 s that its client waits.
	clients   = 36
	leaves    = 2
	slots     = 2
	queueSize = 8
	work      = 500 * time.Millisecond
	limit     = 6 * time.Second
	// steady is how long the load lasts before the stop.
	steady = 14 * time.Second
	// rampUp is the time in which the clients begin.
	rampUp = 4 * time.Second
	// grace, lossSlack and lastSixth are those of the rule.
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	lastSixth = grace * 5 / 6
	latest    = 3 * time.Second
)

// request is one client attempt.
type request struct {
	id, node          string
	sent, ended       time.Time
	status            int
	err               error
	leafFrom, leafTo  time.Time
	reachedLeaf, done bool
}

type state struct {
	rig      *rig.Rig
	mu       sync.Mutex
	requests map[string]*request
	next     atomic.Int64
	// target is the node that new connections go to.
	target atomic.Pointer[rig.Node]
	// stopped is when SIGTERM was sent, in Unix nanoseconds; 0 before.
	stopped atomic.Int64
}

func main() {
	r, err := rig.New(os.Args[1], 2)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(rig.NotRun)
	}
	r.Finish(run(r))
}

func run(r *rig.Rig) error {
	s := &state{rig: r, requests: make(map[string]*request)}
	for i := range leaves {
		if err := s.listen(fmt.Sprintf("i-leaf-%d", i)); err != nil {
			return err
		}
	}
	r.Configure(1, []string{"shop-portal"}, rig.Route("order-status", "/timi402/", "non_idempotent", "shop-portal"))
	first, err := r.Start("edge-1", "colombo")
	if err != nil {
		return err
	}
	second, err := r.Start("edge-2", "colombo")
	if err != nil {
		return err
	}
	s.target.Store(first)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			// The clients do not begin at the same moment.
			time.Sleep(time.Duration(i) * rampUp / clients)
			s.client(ctx)
		})
	}
	time.Sleep(steady)
	if r.Trouble {
		s.stopped.Store(time.Now().UnixNano())
		first.Signal(syscall.SIGTERM)
		go s.balance(first, second)
		select {
		case <-first.Exited():
			r.Logf("edge-1 ended %.3f s after SIGTERM", time.Since(time.Unix(0, s.stopped.Load())).Seconds())
		case <-time.After(grace):
			first.Signal(syscall.SIGKILL)
		}
	} else {
		time.Sleep(grace)
	}
	time.Sleep(time.Second)
	cancel()
	running.Wait()
	s.check()
	return nil
}

// balance does as the platform: after two misses in a row a node gets no new connections.
func (s *state) balance(node, other *rig.Node) {
	for misses := 0; misses < 2; time.Sleep(time.Second) {
		if node.IsReady() {
			misses = 0
			continue
		}
		misses++
		s.rig.Logf("%s is not ready, %d in a row", node.Name, misses)
	}
	s.target.Store(other)
}

// client sends one request after the other over a connection that it keeps, and opens a new
// one when the node has closed it.
func (s *state) client(ctx context.Context) {
	for ctx.Err() == nil {
		node := s.target.Load()
		transport := &http.Transport{}
		for ctx.Err() == nil {
			if closed := s.send(ctx, transport, node); closed {
				break
			}
		}
		transport.CloseIdleConnections()
	}
}

// send sends one request and reports whether its connection is closed.
func (s *state) send(ctx context.Context, transport *http.Transport, node *rig.Node) bool {
	r := &request{id: fmt.Sprintf("%016x", 0x1000+s.next.Add(1)), node: node.Name}
	s.mu.Lock()
	s.requests[r.id] = r
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body := []byte("one order")
	call, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+node.Callers+"/timi402/2f", bytes.NewReader(body))
	if err != nil {
		return true
	}
	call.GetBody = nil
	call.Host = rig.Host
	call.Header.Set("X-Request-Id", r.id)
	call.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	sent := time.Now()
	response, err := transport.RoundTrip(call)
	status, closed := 0, true
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, closed = response.StatusCode, response.Close
	}
	s.mu.Lock()
	r.sent, r.ended, r.status, r.err, r.done = sent, time.Now(), status, err, ctx.Err() == nil
	s.mu.Unlock()
	if status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return closed || err != nil
}

// check applies the rule to the requests of the node that was stopped.
func (s *state) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := time.Unix(0, s.stopped.Load())
	outcomes := make(map[string]int)
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		if !r.done {
			continue
		}
		s.rig.Logf("sent %s to %s at %s, ended after %.3f s: status %d, %v; a leaf began it: %t",
			id, r.node, r.sent.Format("05.000"), r.ended.Sub(r.sent).Seconds(), r.status, r.err, r.reachedLeaf)
		outcome := fmt.Sprintf("%s %d", r.node, r.status)
		if r.err != nil {
			outcome = r.node + " no answer"
		}
		outcomes[outcome]++
		if r.err == nil || r.ended.Sub(r.sent) >= limit || r.ended.Sub(r.sent) <= lossSlack {
			continue
		}
		inLastSixth := stopped.Add(lastSixth)
		atWork := r.reachedLeaf && r.leafFrom.Before(stopped.Add(grace)) && (r.leafTo.IsZero() || r.leafTo.After(inLastSixth))
		if atWork && r.sent.Before(stopped.Add(latest)) {
			s.rig.Logf("%s: cut, not counted: a leaf was at work on it", r.id)
			continue
		}
		s.rig.Break("request %s, sent to %s %.3f s after SIGTERM, is cut off without an answer %.3f s later (%v); a leaf began it: %t",
			r.id, r.node, r.sent.Sub(stopped).Seconds(), r.ended.Sub(r.sent).Seconds(), r.err, r.reachedLeaf)
	}
	s.rig.Logf("outcomes: %v", outcomes)
}

// listen starts a leaf with two slots and a queue.
func (s *state) listen(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	free := make(chan struct{}, slots)
	var inside atomic.Int64
	handler := func(w http.ResponseWriter, call *http.Request) {
		requestID := call.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", requestID)
		w.Header().Set("X-Instance-Id", id)
		if call.Header.Get("X-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.ReadAll(call.Body)
		defer inside.Add(-1)
		if inside.Add(1) > slots+queueSize {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case free <- struct{}{}:
		case <-call.Context().Done():
			return
		}
		defer func() { <-free }()
		s.began(requestID)
		s.rig.Logf("%s runs %s", id, requestID)
		time.Sleep(work)
		s.finished(requestID)
		w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(free), max(int(inside.Load())-slots, 0), slots))
		w.Header().Set("X-Response-Stamp", id+"."+requestID)
		_, _ = io.WriteString(w, "accepted "+requestID)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	s.rig.Store.Put("servers", id, rig.Entry("shop-portal", "colombo", listener.Addr().String()))
	return nil
}

func (s *state) began(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.requests[id]; r != nil {
		r.reachedLeaf, r.leafFrom = true, time.Now()
	}
}

func (s *state) finished(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.requests[id]; r != nil {
		r.leafTo = time.Now()
	}
}
