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
	// inboxSize and maxQueued are the limits of a relay's worker.
	inboxSize    = 1024
	maxQueued    = 64
	slotsPerLeaf = 2
	// leavesPerRelayAtTarget is the number of leaves of which a relay is the first
	// or second owner at the target size: 2 * 12,222 leaves / 267 VMs.
	leavesPerRelayAtTarget = 92
)

// leafWorkerState is the state that a relay's worker keeps per leaf, without the
// connections.
type leafWorkerState struct {
	queue   *leafqueue.Queue
	tracker *warmup.Tracker
	inbox   chan any
	status  message.LeafStatus
}

func newLeafWorkerState() *leafWorkerState {
	return &leafWorkerState{
		queue:   leafqueue.New(leafqueue.Config{MaxQueued: maxQueued}),
		tracker: warmup.New(warmup.Config{Slots: slotsPerLeaf}),
		inbox:   make(chan any, inboxSize),
		status:  WarmLeafStatus("finder-017-042-a"),
	}
}

// BenchmarkLeafState measures the memory per leaf in a relay, including the
// worker's goroutine, and the time of the decisions for one request.
func BenchmarkLeafState(b *testing.B) {
	for _, leaves := range []int{26, leavesPerRelayAtTarget, 10 * leavesPerRelayAtTarget} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			stop := make(chan struct{})
			defer close(stop)
			retained := HeapBytes(func() any { return startWorkers(leaves, stop) })
			s := newLeafWorkerState()
			now, id := time.Duration(0), uint64(0)
			s.queue.Step(now, leafqueue.SetLimit{InFlight: slotsPerLeaf})
			for b.Loop() {
				now += time.Millisecond
				id++
				s.stepRequest(now, id)
			}
			b.ReportMetric(retained/float64(leaves), "heap-B/leaf")
		})
	}
}

// startWorkers starts one goroutine per leaf, with the state of the leaf.
func startWorkers(leaves int, stop chan struct{}) []*leafWorkerState {
	out := make([]*leafWorkerState, leaves)
	for i := range out {
		s := newLeafWorkerState()
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

func (s *leafWorkerState) stepRequest(now time.Duration, id uint64) {
	s.inbox <- id
	<-s.inbox
	limit := s.tracker.Limit(now)
	s.queue.Step(now, leafqueue.SetLimit{InFlight: max(limit.InFlight, 1)})
	s.queue.Step(now, leafqueue.Add{ID: id, StartBy: now + time.Second})
	s.tracker.Step(now, warmup.Dispatched{})
	s.tracker.Step(now, warmup.Replied{Latency: time.Millisecond, Boot: 1})
	s.queue.Step(now, leafqueue.ReleaseSlot{ID: id})
}
