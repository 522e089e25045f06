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

func wireOptions(handler wire.Handler) wire.Options {
	return wire.Options{
		Clock: timeline.NewClock(time.Now), Handler: handler, Stats: wire.NewStats(metrics.NewRegistry()),
	}
}

// listen serves frames on loopback until the benchmark ends.
func listen(b *testing.B, handler wire.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := wire.NewServer(wire.Hello{VM: "vm-1", Role: wire.RoleRelay}, wireOptions(handler))
	b.Cleanup(func() { server.Close(); _ = ln.Close() })
	go func() { _ = server.Serve(context.Background(), ln) }()
	return ln.Addr().String()
}

func dial(b *testing.B, addr string) *wire.Peer {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	p, err := wire.NewPeer(b.Context(), conn, wire.Hello{VM: "vm-0", Role: wire.RoleEntry}, wireOptions(nil))
	if err != nil {
		b.Fatal(err)
	}
	return p
}

// cpuTime returns the CPU time that this process has used on all cores.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLeafCall sends leaf requests over one loopback connection and gets
// replies with 10 hits, from one goroutine and from many. With many, several
// frames are written in one system call. The CPU time is that of both endpoints.
func BenchmarkLeafCall(b *testing.B) {
	for _, load := range []struct {
		name     string
		parallel int
	}{{"open=1", 0}, {"open=160", 16}} {
		b.Run(load.name, func(b *testing.B) { benchmarkLeafCall(b, load.parallel) })
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
	startCPU := cpuTime(b)
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
	b.ReportMetric(float64(cpuTime(b)-startCPU)/float64(b.N), "cpu-ns/op")
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

// BenchmarkIdleConnections measures the memory of both endpoints of idle
// connections and the CPU time of their pings. One operation takes one second.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 200
	addr := listen(b, nil)
	peers := make([]*wire.Peer, 0, connections)
	retained := HeapBytes(func() any {
		for range connections {
			peers = append(peers, dial(b, addr))
		}
		time.Sleep(50 * time.Millisecond)
		return peers
	})
	startCPU := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	endpoints := 2.0 * connections
	b.ReportMetric(float64(cpuTime(b)-startCPU)/float64(b.N)/endpoints, "cpu-ns/end/s")
	b.ReportMetric(retained/endpoints, "mem-B/end")
	for _, p := range peers {
		p.Close()
	}
}
