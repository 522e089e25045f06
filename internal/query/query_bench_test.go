package query

import (
	"fmt"
	"testing"
)

// BenchmarkQuery measures whole queries: Start, one reply per shard, Finish. The
// plan is built once per fan-out and not measured.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{10, 50, 170} {
		b.Run(fmt.Sprintf("fanout=%d", shards), func(b *testing.B) {
			plan, params := testPlan(pinned, shards, 2), Params{Deadline: 400 * ms, MaxAttempts: 2}
			sends := make([]Send, 0, shards)
			b.ReportAllocs()
			for b.Loop() {
				sends = sends[:0]
				m := New(params, plan)
				for _, action := range m.Start(0) {
					if s, ok := action.(Send); ok {
						sends = append(sends, s)
					}
				}
				for _, s := range sends {
					m.Step(ms, replyTo(s), nil)
				}
				if m.phase != phaseFinished {
					b.Fatal("no Finish")
				}
			}
			leaves := float64(b.N) * float64(shards)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/leaves, "ns/leaf")
		})
	}
}
