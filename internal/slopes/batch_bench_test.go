package slopes

import (
	"context"
	"fmt"
	"testing"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// BenchmarkBatchCall sends several leaf requests in one frame and their replies
// in another, for comparison: the protocol has one frame per request. The CPU
// time is that of both endpoints, per leaf request.
func BenchmarkBatchCall(b *testing.B) {
	for _, leaves := range []int{1, 10, 17} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) { benchmarkBatchCall(b, leaves) })
	}
}

func benchmarkBatchCall(b *testing.B, leaves int) {
	requests, replies := make([]message.LeafRequest, leaves), make([]message.LeafReply, leaves)
	for i := range leaves {
		requests[i], replies[i] = LeafRequest(), LeafReply(10)
	}
	p := dial(b, listen(b, func(p *wire.Peer, env *wire.Envelope) {
		var received []message.LeafRequest
		if wire.DecodeBody(env, &received) == nil {
			_ = p.Reply(env, wire.KindLeafReply, replies)
		}
	}))
	defer p.Close()
	startCPU := cpuTime(b)
	b.ResetTimer()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			env, err := p.Call(context.Background(), wire.KindLeafRequest, "", topology.Snapshot{}, requests)
			var received []message.LeafReply
			if err != nil || wire.DecodeBody(env, &received) != nil || len(received) != leaves {
				b.Error("the batch failed:", err)
				return
			}
		}
	})
	b.ReportMetric(float64(cpuTime(b)-startCPU)/float64(b.N*leaves), "cpu-ns/leaf")
}
