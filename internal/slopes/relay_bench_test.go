package slopes

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

const (
	// inboxSize and maxQueued are those of a relay's worker.
	inboxSize = 1024
	maxQueued = 64
	slots     = 2
	// targetShare is the number of leaves for which a relay ranks first or
	// second at the target size: 2 * 12,222 leaves / 267 VMs.
	targetShare = 92
)

// leafState is what a relay's worker keeps per leaf, without its connections.
type leafState struct {
	queue   *leafqueue.Queue
	tracker *warmup.Tracker
	inbox   chan any
	facts   message.LeafStatus
}

func newLeafState() *leafState {
	return &leafState{
		queue:   leafqueue.New(leafqueue.Config{MaxQueued: maxQueued}),
		tracker: warmup.New(warmup.Config{Slots: slots}),
		inbox:   make(chan any, inboxSize),
		facts:   Facts("finder-017-042-a"),
	}
}

// BenchmarkLeafState is the memory of one leaf in its relay with a goroutine,
// and the processor time of one request's decisions.
func BenchmarkLeafState(b *testing.B) {
	for _, leaves := range []int{26, targetShare, 10 * targetShare} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			stop := make(chan struct{})
			defer close(stop)
			kept := HeapBytes(func() any { return startWorkers(leaves, stop) })
			s := newLeafState()
			now, id := time.Duration(0), uint64(0)
			s.queue.Step(now, leafqueue.SetLimit{InFlight: slots})
			for b.Loop() {
				now += time.Millisecond
				id++
				s.oneRequest(now, id)
			}
			b.ReportMetric(kept/float64(leaves), "heap-B/leaf")
		})
	}
}

// startWorkers starts one goroutine with a leaf's state per leaf.
func startWorkers(leaves int, stop chan struct{}) []*leafState {
	out := make([]*leafState, leaves)
	for i := range out {
		s := newLeafState()
		out[i] = s
		go func() {
			timer := time.NewTimer(time.Hour)
			defer timer.Stop()
			select {
			case <-s.inbox:
			case <-timer.C:
			case <-stop:
			}
		}()
	}
	time.Sleep(time.Millisecond)
	return out
}

func (s *leafState) oneRequest(now time.Duration, id uint64) {
	s.inbox <- id
	<-s.inbox
	limit := s.tracker.Limit(now)
	s.queue.Step(now, leafqueue.SetLimit{InFlight: max(limit.InFlight, 1)})
	s.queue.Step(now, leafqueue.Add{ID: id, StartBy: now + time.Second})
	s.tracker.Step(now, warmup.Dispatched{})
	s.tracker.Step(now, warmup.Replied{Latency: time.Millisecond, Boot: 1})
	s.queue.Step(now, leafqueue.ReleaseSlot{ID: id})
}
