package relay

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// Guards against a query that waits until its deadline for a leaf that has not
// replied to the previous request either, against answering a request twice, and
// against answering an execution while it runs.
func TestUnresponsiveSearchIsAnsweredWhileItRuns(t *testing.T) {
	r := newWorkerFixture(t)
	release := r.occupySlot()
	defer release()
	r.answerUnresponsive(r.proc.Now() + time.Minute)
	assert.Equal(t, len(r.answers), 0, "the leaf is not on probation")

	start := r.proc.Now()
	r.tracker.Step(start, warmup.Dispatched{})
	r.tracker.Step(start+time.Minute, warmup.TimedOut{})
	from, running := r.tracker.UnresponsiveFrom()
	assert.Assert(t, running)
	r.answerUnresponsive(from - 1)
	assert.Equal(t, len(r.answers), 0, "the leaf may still reply")
	for id := range r.running {
		r.requests[id].message.Op = message.OpExecute
	}
	r.answerUnresponsive(from)
	assert.Equal(t, len(r.answers), 0, "an execution was answered before its outcome was known")
	for id := range r.running {
		r.requests[id].message.Op = message.OpSearch
	}
	r.answerUnresponsive(from)
	answer := r.reply()
	assert.Equal(t, answer.Failure.Reason, errs.ReasonNoReply)
	assert.Assert(t, !answer.Failure.NotRun)
	assert.Equal(t, r.queue.Running(), 1, "the slot was released")

	release()
	r.handle(context.Background(), <-r.inbox)
	assert.Equal(t, len(r.answers), 0, "answered twice")
	assert.Equal(t, r.queue.Running(), 0)
}
