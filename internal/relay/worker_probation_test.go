package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// Guards against requests that are queued behind one that may still run in an
// unresponsive leaf, and against reusing its slot before it can have completed.
func TestUnresponsiveLeafRefusesWaitingRequests(t *testing.T) {
	w := newTestWorker(fakeLeases{finished: make(chan topology.LeafID, 1)})
	w.reported.IndexVersions = []uint64{1}
	assert.Equal(t, w.refusalReason(), errs.Reason(""))
	w.queue.Step(0, leafqueue.SetLimit{InFlight: 1})
	w.queue.Step(0, leafqueue.Add{ID: 1, StartBy: time.Hour})
	start := w.proc.Now()
	w.tracker.Step(start, warmup.Dispatched{})
	assert.Equal(t, w.refusalReason(), errs.Reason(""), "the first request may still reply")
	w.tracker.Step(start+time.Second, warmup.TimedOut{})
	assert.Equal(t, w.refusalReason(), errs.ReasonNoReply)
	assert.Equal(t, w.queue.Running(), 1)
	w.publishIfChanged()
	assert.Assert(t, w.published.Unresponsive && !w.published.Usable)
	w.step(context.Background(), leafqueue.ReleaseSlot{ID: 1})
	w.publishIfChanged()
	assert.Assert(t, w.published.Unresponsive && w.published.Usable, "the leaf is not tried again")
	w.tracker.Step(start+2*time.Second, warmup.Dispatched{})
	w.tracker.Step(start+2*time.Second, warmup.Replied{Latency: time.Millisecond, Boot: 1})
	w.publishIfChanged()
	assert.Assert(t, !w.published.Unresponsive && w.published.Usable)
}

// Guards against publishing that a leaf is unresponsive only with the next event,
// up to maxIdleSleep later.
func TestWorkerWakesWhenLeafBecomesUnresponsive(t *testing.T) {
	w := newTestWorker(fakeLeases{})
	now := w.proc.Now()
	w.tracker.Step(now, warmup.Dispatched{})
	at, ok := w.tracker.UnresponsiveFrom()
	assert.Assert(t, ok)
	assert.Assert(t, w.untilNextWake() <= at-now)
}
