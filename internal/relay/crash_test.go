package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// bootedLeaf answers at once in its first boot. In later ones a request runs
// until it is released.
type bootedLeaf struct {
	medlarv1connect.UnimplementedLeafServiceHandler
	release chan struct{}

	mu      sync.Mutex
	boot    uint64
	running int
	most    int
}

func (l *bootedLeaf) bootID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.boot
}

// count changes the number of requests that run in later boots.
func (l *bootedLeaf) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += n
	l.most = max(l.most, l.running)
}

// crash begins a new boot and closes all connections.
func (l *bootedLeaf) crash(s *httptest.Server) {
	l.mu.Lock()
	l.boot++
	l.mu.Unlock()
	s.CloseClientConnections()
}

func (l *bootedLeaf) Search(ctx context.Context, _ *connect.Request[medlarv1.SearchRequest]) (*connect.Response[medlarv1.SearchResponse], error) {
	boot := l.bootID()
	if boot > 1 {
		l.count(1)
		defer l.count(-1)
		select {
		case <-l.release:
		case <-ctx.Done():
		}
	}
	return connect.NewResponse(&medlarv1.SearchResponse{Shard: "s", BootId: boot, Snapshot: &medlarv1.Snapshot{}}), nil
}

func (l *bootedLeaf) Report(context.Context, *connect.Request[medlarv1.ReportRequest]) (*connect.Response[medlarv1.ReportResponse], error) {
	return connect.NewResponse(&medlarv1.ReportResponse{BootId: l.bootID(), IndexVersions: []uint64{1}}), nil
}

// Guards against two requests at once in a leaf that has just crashed: its idle
// connections are closed, no request was lost, and the next probe is not due.
func TestCrashOfAnIdleWarmLeafIsSeenBeforeTheNextRequest(t *testing.T) {
	leaf := &bootedLeaf{boot: 1, release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewLeafServiceHandler(leaf))
	server := httptest.NewServer(mux)
	defer server.Close()
	defer close(leaf.release)
	w := newLeafWorker(telemetry.NewProcess("vm-1", "a", wire.RoleRelay),
		&topology.Leaf{ID: "leaf", Shard: "s", Index: "i", Zone: "a", Address: strings.TrimPrefix(server.URL, "http://")},
		&topology.Index{ID: "i", Slots: 2, Connections: 25, RunLimit: time.Second}, 4, newGrants(), func(message.LeafStatus) {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.run(ctx)
	for id := uint64(1); w.currentStatus() == nil || w.currentStatus().GetState() != string(warmup.Warm); id++ {
		<-search(w, id)
	}
	leaf.crash(server)
	first, second := search(w, 1001), search(w, 1002)
	select {
	case <-first:
	case <-second:
	case <-time.After(300 * time.Millisecond): // above the time of a probe
	}
	leaf.mu.Lock()
	defer leaf.mu.Unlock()
	assert.Assert(t, leaf.most <= 1, "%d requests at once in a cold leaf", leaf.most)
}

// search sends a request to a worker and returns where its reply comes.
func search(w *leafWorker, id uint64) <-chan *message.LeafReply {
	replied := make(chan *message.LeafReply, 1)
	now := w.proc.Now()
	w.post(requestArrived{request: &leafRequest{
		id: id, message: message.LeafRequest{Leaf: "leaf", Op: message.OpSearch}, shard: "s",
		startBy: now + 5*time.Second, deadline: now + 5*time.Second,
		answer: func(r *message.LeafReply) { replied <- r },
	}})
	return replied
}
