package slopes

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

func options(h wire.Handler) wire.Options {
	return wire.Options{
		Clock: timeline.NewClock(time.Now), Handler: h, Stats: wire.NewStats(metrics.NewRegistry()),
	}
}

// listen serves frames on loopback until the benchmark ends.
func listen(b *testing.B, h wire.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := wire.NewServer(wire.Hello{VM: "vm-1", Role: wire.RoleRelay}, options(h))
	b.Cleanup(func() { server.Close(); _ = ln.Close() })
	go func() { _ = server.Serve(context.Background(), ln) }()
	return ln.Addr().String()
}

func dial(b *testing.B, addr string) *wire.Peer {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	p, err := wire.NewPeer(b.Context(), conn, wire.Hello{VM: "vm-0", Role: wire.RoleEntry}, options(nil))
	if err != nil {
		b.Fatal(err)
	}
	return p
}

// processorTime is what this process has used on all cores.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLeafCall sends leaf requests with 10 hits back over one loopback
// connection, alone and from many goroutines, where frames share system calls.
// The processor time is that of both ends.
func BenchmarkLeafCall(b *testing.B) {
	for _, row := range []struct {
		name     string
		parallel int
	}{{"open=1", 0}, {"open=160", 16}} {
		b.Run(row.name, func(b *testing.B) { benchmarkLeafCall(b, row.parallel) })
	}
}

func benchmarkLeafCall(b *testing.B, parallel int) {
	reply := LeafReply(10)
	p := dial(b, listen(b, func(p *wire.Peer, env *wire.Envelope) {
		var req message.LeafRequest
		if wire.DecodeBody(env, &req) == nil {
			_ = p.Reply(env, wire.KindLeafReply, reply)
		}
	}))
	defer p.Close()
	b.ReportAllocs()
	began := processorTime(b)
	b.ResetTimer()
	if parallel == 0 {
		for range b.N {
			callOnce(b, p)
		}
	} else {
		b.SetParallelism(parallel)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				callOnce(b, p)
			}
		})
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
}

func callOnce(b *testing.B, p *wire.Peer) {
	snap := topology.Snapshot{IndexVersion: 1 << 20, PartitionGeneration: 3}
	env, err := p.Call(context.Background(), wire.KindLeafRequest, "finder-017-042", snap, LeafRequest())
	if err != nil {
		b.Error(err)
		return
	}
	var reply message.LeafReply
	if err := wire.DecodeBody(env, &reply); err != nil {
		b.Error(err)
	}
}

// BenchmarkIdleConnections is the memory of both ends of idle connections and
// the processor time of their pings. One operation is one second.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 200
	addr := listen(b, nil)
	peers := make([]*wire.Peer, 0, connections)
	kept := HeapBytes(func() any {
		for range connections {
			peers = append(peers, dial(b, addr))
		}
		time.Sleep(50 * time.Millisecond)
		return peers
	})
	began := processorTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	ends := 2.0 * connections
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N)/ends, "cpu-ns/end/s")
	b.ReportMetric(kept/ends, "mem-B/end")
	for _, p := range peers {
		p.Close()
	}
}
