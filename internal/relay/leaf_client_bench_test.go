package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// benchLeaf answers every search with 10 hits.
type benchLeaf struct {
	medlarv1connect.UnimplementedLeafServiceHandler
}

func (benchLeaf) Search(_ context.Context, req *connect.Request[medlarv1.SearchRequest]) (*connect.Response[medlarv1.SearchResponse], error) {
	resp := &medlarv1.SearchResponse{BootId: 1 << 60, Shard: req.Msg.GetShard(), Snapshot: req.Msg.GetSnapshot()}
	for i := range 10 {
		resp.Hits = append(resp.Hits, &medlarv1.Hit{Key: fmt.Sprintf("document-%07d", i), Score: 1 / float64(i+1)})
	}
	return connect.NewResponse(resp), nil
}

// BenchmarkLeafClient sends requests to a leaf over HTTP on loopback. The reported
// CPU time includes client and server.
func BenchmarkLeafClient(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewLeafServiceHandler(benchLeaf{}))
	server := &http.Server{Handler: mux}
	defer server.Close()
	go func() { _ = server.Serve(ln) }()
	client := newLeafClient(&topology.Leaf{ID: "leaf", Address: ln.Addr().String()}, 6, func(uint64) {})
	defer client.close()
	req := &leafRequest{
		message: message.LeafRequest{Op: message.OpSearch, RequestID: "vm-1-0123456789abcdef", Text: "welding evening"},
		shard:   "finder-017-042", snapshot: topology.Snapshot{IndexVersion: 1 << 20, PartitionGeneration: 3},
	}
	b.ReportAllocs()
	start := processCPUTime(b)
	for b.Loop() {
		result := client.run(b.Context(), req, time.Now().Add(time.Second))
		if result.err != nil || len(result.hits) != 10 {
			b.Fatal(result.err)
		}
	}
	b.ReportMetric(float64(processCPUTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// processCPUTime returns the CPU time that this process has used on all cores.
func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
