package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// fakeLeaf counts the requests that reach it and answers each by calling answer,
// if that is set.
type fakeLeaf struct {
	medlarv1connect.UnimplementedLeafServiceHandler
	runs    atomic.Int32
	started chan struct{}
	server  *httptest.Server
	answer  func(ctx context.Context, out *medlarv1.SearchResponse) error
}

func newFakeLeaf(t *testing.T) *fakeLeaf {
	f := &fakeLeaf{started: make(chan struct{}, 10)}
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewLeafServiceHandler(f))
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeLeaf) Search(ctx context.Context, req *connect.Request[medlarv1.SearchRequest]) (*connect.Response[medlarv1.SearchResponse], error) {
	f.runs.Add(1)
	f.started <- struct{}{}
	out := &medlarv1.SearchResponse{BootId: 1, Shard: req.Msg.GetShard(), Snapshot: req.Msg.GetSnapshot()}
	if f.answer == nil {
		return connect.NewResponse(out), nil
	}
	return connect.NewResponse(out), f.answer(ctx, out)
}

// stubLeases returns fixed results for Held and AuthorizeDispatch.
type stubLeases struct {
	fakeLeases
	held, authorized bool
}

// newStubLeases returns a stub that holds every lease.
func newStubLeases() *stubLeases {
	return &stubLeases{fakeLeases: fakeLeases{finished: make(chan topology.LeafID, 2*maxQueued)}, held: true, authorized: true}
}

func (s *stubLeases) Held(topology.LeafID) bool { return s.held }
func (s *stubLeases) AuthorizeDispatch(topology.LeafID, bool) (time.Duration, bool) {
	return time.Hour, s.authorized
}

// workerFixture is a worker that doesn't run on its own: the test passes it each
// event.
type workerFixture struct {
	*leafWorker
	t          *testing.T
	stubLeases *stubLeases
	leaf       *fakeLeaf
	answers    chan *message.LeafReply
	nextID     uint64
}

func newWorkerFixture(t *testing.T) *workerFixture {
	r := &workerFixture{
		t: t, leaf: newFakeLeaf(t), answers: make(chan *message.LeafReply, 2*maxQueued),
		stubLeases: newStubLeases(),
	}
	r.leafWorker = newTestWorker(r.stubLeases)
	leaf := *r.leafWorker.leaf
	leaf.Address = strings.TrimPrefix(r.leaf.server.URL, "http://")
	r.client = newLeafClient(&leaf, 2, func(uint64) {})
	t.Cleanup(r.client.close)
	return r
}

var pinnedSnapshot = topology.Snapshot{IndexVersion: 3, PartitionGeneration: 2}

// request returns a request whose start-by time and deadline are a minute away.
func (r *workerFixture) request() *leafRequest {
	r.nextID++
	limit := r.proc.Now() + time.Minute
	return &leafRequest{
		id: r.nextID, message: message.LeafRequest{Leaf: "leaf", Op: message.OpSearch},
		shard: "s", snapshot: pinnedSnapshot, startBy: limit, deadline: limit,
		answer: func(m *message.LeafReply) { r.answers <- m },
	}
}

func (r *workerFixture) deliver(ev workerEvent) { r.handle(context.Background(), ev) }

// reply returns the reply that the worker sent, and checks that it sent exactly
// one.
func (r *workerFixture) reply() *message.LeafReply {
	r.t.Helper()
	assert.Equal(r.t, len(r.answers), 1)
	return <-r.answers
}

// occupySlot starts a request in the leaf's only slot. It runs until release is
// called.
func (r *workerFixture) occupySlot() (release func()) {
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	r.t.Cleanup(release)
	r.leaf.answer = func(context.Context, *medlarv1.SearchResponse) error { <-released; return nil }
	r.deliver(requestReceived{request: r.request()})
	<-r.leaf.started
	return release
}

// makeWarm passes replies to the tracker until the leaf is warm.
func (r *workerFixture) makeWarm() {
	for r.tracker.State() != warmup.Warm {
		r.tracker.Step(0, warmup.Dispatched{})
		r.tracker.Step(0, warmup.Replied{Latency: time.Nanosecond, Boot: 1})
	}
}
