package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/drainplan"
)

// stopping tells running requests of the stop of their VM. It is safe for concurrent use.
type stopping struct {
	// plan is nil before the stop.
	plan atomic.Pointer[drainplan.Plan]
	// begun is cancelled when the stop begins, ended when running requests are ended.
	begun, ended   context.Context
	markBegun, end context.CancelFunc
}

func newStopping() *stopping {
	s := &stopping{}
	s.begun, s.markBegun = context.WithCancel(context.Background())
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// begin begins the stop.
func (s *stopping) begin(now time.Duration, plan drainplan.Plan) {
	s.plan.Store(&plan)
	s.markBegun()
	time.AfterFunc(plan.End()-now, s.end)
}

// refuses reports whether a request, or a step of one, that began at the given time will not
// complete before the end of the stop.
func (s *stopping) refuses(began, expected time.Duration) bool {
	plan := s.plan.Load()
	return plan != nil && !plan.Serves(began, expected)
}

// limitLeafTime returns the time until which a leaf may work on a request with the given
// deadline. Both times are monotonic since the start of the process.
func (s *stopping) limitLeafTime(deadline time.Duration) time.Duration {
	if plan := s.plan.Load(); plan != nil {
		return min(deadline, plan.LeafEnd())
	}
	return deadline
}

// refusesCall reports whether a call that has not been sent to a leaf will not be answered
// before the end of the stop.
func (n *Node) refusesCall(c *call) bool {
	if n.stopping.plan.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	expected := n.durations.Expected(n.now(), c.route.Name)
	return n.stopping.refuses(c.startedAt.Sub(n.started), expected.Answer)
}

// refusesSend reports whether the reply to a request that is sent to a leaf now will not
// arrive before the end of the stop. The caller holds mu.
func (n *Node) refusesSend(route string) bool {
	now := n.now()
	return n.stopping.refuses(now, n.durations.Expected(now, route).Reply)
}
