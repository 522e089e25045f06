package latency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const ms = time.Millisecond

// sampleLatency draws from a log-normal distribution with the given median.
func sampleLatency(r *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.5*r.NormFloat64()))
}

// Guards against a hedge delay that is far from the true percentile at any
// scale, or that does not follow a change of the latencies.
func TestHedgeDelayFollowsPercentile(t *testing.T) {
	r, table := rand.New(rand.NewPCG(1, 2)), NewShardTable()
	for _, median := range []time.Duration{ms, 5 * ms, 80 * ms, 300 * ms, 5 * ms} {
		want := float64(median) * math.Exp(0.5*1.645)
		var ratios []float64
		for i := range 4000 {
			table.Observe("s", sampleLatency(r, median))
			if d, ok := table.HedgeDelay("s"); ok && i > 1500 {
				ratios = append(ratios, float64(d)/want)
			}
		}
		sort.Float64s(ratios)
		mid, low, high := ratios[len(ratios)/2], ratios[len(ratios)/20], ratios[len(ratios)*19/20]
		assert.Assert(t, mid > 0.9 && mid < 1.1 && low > 0.7 && high < 1.4, "median %v: %.2f %.2f %.2f", median, low, mid, high)
	}
}

// Guards against a hedge delay that shrinks because hedged attempts are
// cancelled early.
func TestCancelledAttemptsDoNotShrinkHedgeDelay(t *testing.T) {
	r, table := rand.New(rand.NewPCG(3, 4)), NewShardTable()
	for range 20_000 {
		took := sampleLatency(r, 10*ms)
		if d, ok := table.HedgeDelay("s"); ok {
			took = min(took, d+ms)
		}
		table.Observe("s", took)
	}
	d, _ := table.HedgeDelay("s")
	assert.Assert(t, d > 15*ms && d < 32*ms, "%v", d)
}

// Guards against a hedge delay from too few replies, latencies outside the
// range of the histogram, and entries of shards that were removed.
func TestFewRepliesAndOutOfRangeLatencies(t *testing.T) {
	table := NewShardTable()
	for i, d := range []time.Duration{-1, 0, time.Nanosecond, time.Hour, math.MaxInt64} {
		for n := range minReplies {
			_, ok := table.HedgeDelay(topology.ShardID(fmt.Sprint(i)))
			assert.Assert(t, !ok, "after %d replies", n)
			table.Observe(topology.ShardID(fmt.Sprint(i)), d)
		}
		got, ok := table.HedgeDelay(topology.ShardID(fmt.Sprint(i)))
		assert.Assert(t, ok && got >= 128*time.Microsecond && got < 3*time.Second, "%v: %v", d, got)
	}
	table.Retain(map[topology.ShardID]*topology.Shard{"1": nil})
	assert.Equal(t, len(table.shards), 1)
}

func heapBytes(b *testing.B, fill func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkBytesPerShard compares the memory of a histogram of this package
// with that of an HDR histogram.
func BenchmarkBytesPerShard(b *testing.B) {
	for _, shards := range []int{1_160, 110_000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { benchmarkBytesPerShard(b, shards) })
	}
}

func benchmarkBytesPerShard(b *testing.B, shards int) {
	ids := make([]topology.ShardID, shards)
	for i := range ids {
		ids[i] = topology.ShardID(fmt.Sprintf("shard-%d", i))
	}
	var own, hdr float64
	for b.Loop() {
		own = heapBytes(b, func() any {
			table := NewShardTable()
			for _, id := range ids {
				table.Observe(id, ms)
			}
			return table
		})
		hdr = heapBytes(b, func() any {
			table := make(map[topology.ShardID]*hdrhistogram.Histogram)
			for _, id := range ids {
				table[id] = hdrhistogram.New(128, 2_000_000, 1)
			}
			return table
		})
	}
	b.ReportMetric(own/float64(shards), "B/shard")
	b.ReportMetric(hdr/float64(shards), "hdr-B/shard")
}

func BenchmarkObserve(b *testing.B) {
	table := NewShardTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Observe("s", 5*ms)
		table.HedgeDelay("s")
	}
}
