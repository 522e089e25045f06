package submit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Guards against a cost per request that grows with the number of live tickets.
// Each request expires the oldest ticket, so the number of live ones stays constant.
func BenchmarkSubmit(b *testing.B) {
	result := make([]byte, 64)
	for _, live := range []int{1_000, 10_000, 110_000} {
		b.Run(fmt.Sprintf("live=%d", live), func(b *testing.B) {
			empty, now := heapBytes(), time.Duration(0)
			l := NewLedger(Config{VM: "vm-1", Lifetime: time.Duration(live), MaxTickets: live, MaxResultBytes: len(result)})
			request := func() {
				now++
				ticket, err := l.Begin(now)
				if err != nil || l.Submit(now, ticket, 1, now+1).Kind != Run || !l.Dispatch(now, ticket) {
					b.Fatalf("request %d did not run: %v", now, err)
				}
				l.Finish(now, ticket, Outcome{Kind: Done, Result: result})
			}
			for range live {
				request()
			}
			perTicket := (heapBytes() - empty) / float64(live)
			for b.Loop() {
				request()
			}
			b.ReportMetric(perTicket, "B/ticket")
		})
	}
}
