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

// Guards against requests that wait behind one whose end in a silent leaf is
// unknown, and against a slot of such a leaf that is given away before the
// earlier request can have ended.
func TestSilentLeafRefusesWhatWouldWait(t *testing.T) {
	w := testWorker(fakeLeases{ended: make(chan topology.LeafID, 1)})
	w.facts.IndexVersions = []uint64{1}
	assert.Equal(t, w.unusable(), errs.Reason(""))
	w.queue.Step(0, leafqueue.SetLimit{InFlight: 1})
	w.queue.Step(0, leafqueue.Add{ID: 1, StartBy: time.Hour})
	began := w.proc.Now()
	w.tracker.Step(began, warmup.Dispatched{})
	assert.Equal(t, w.unusable(), errs.Reason(""), "the first request may still reply")
	w.tracker.Step(began+time.Second, warmup.TimedOut{})
	assert.Equal(t, w.unusable(), errs.ReasonNoReply)
	assert.Equal(t, w.queue.Running(), 1)
	w.tell()
	assert.Assert(t, w.told.Unresponsive && !w.told.Usable)
	w.step(context.Background(), leafqueue.ReleaseSlot{ID: 1})
	w.tell()
	assert.Assert(t, w.told.Unresponsive && w.told.Usable, "the leaf is not tried again")
	w.tracker.Step(began+2*time.Second, warmup.Dispatched{})
	w.tracker.Step(began+2*time.Second, warmup.Replied{Latency: time.Millisecond, Boot: 1})
	w.tell()
	assert.Assert(t, !w.told.Unresponsive && w.told.Usable)
}

// Guards against a leaf whose silence is told only with the next event, up to
// idleWake later.
func TestWorkerWakesForSilence(t *testing.T) {
	w := testWorker(fakeLeases{})
	now := w.proc.Now()
	w.tracker.Step(now, warmup.Dispatched{})
	at, ok := w.tracker.UnresponsiveFrom()
	assert.Assert(t, ok)
	assert.Assert(t, w.nextWake() <= at-now)
}
