package relay

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Guards against reporting "not run" for a request of which something was written,
// and against passing on a reply from another shard or snapshot as the requested
// one: the query drops it only if the relay reports what the leaf served.
func TestLeafReplies(t *testing.T) {
	refusal := func(reason errs.Reason, notRun bool) error {
		return errs.ToConnect(errs.New(errs.StepLeafCall, "leaf", reason, notRun, "refused"), errs.StepLeafCall, "leaf")
	}
	rows := []struct {
		name     string
		answer   func(ctx context.Context, out *medlarv1.SearchResponse) error
		closed   bool
		shard    topology.ShardID
		snapshot topology.Snapshot
		reason   errs.Reason
		notRun   bool
		crash    bool
	}{
		{name: "complete", shard: "s", snapshot: pinnedSnapshot},
		{name: "another shard", answer: func(_ context.Context, out *medlarv1.SearchResponse) error {
			out.Shard = "t"
			return nil
		}, shard: "t", snapshot: pinnedSnapshot},
		{name: "another snapshot", answer: func(_ context.Context, out *medlarv1.SearchResponse) error {
			out.Snapshot = &medlarv1.Snapshot{IndexVersion: 4, PartitionGeneration: 2}
			return nil
		}, shard: "s", snapshot: topology.Snapshot{IndexVersion: 4, PartitionGeneration: 2}},
		{name: "shed", answer: func(context.Context, *medlarv1.SearchResponse) error { return refusal(errs.ReasonShed, true) }, reason: errs.ReasonShed, notRun: true},
		{name: "failed while it ran", answer: func(context.Context, *medlarv1.SearchResponse) error { return refusal(errs.ReasonInternal, false) }, reason: errs.ReasonInternal},
		{name: "failure without detail", answer: func(context.Context, *medlarv1.SearchResponse) error {
			return connect.NewError(connect.CodeDeadlineExceeded, errors.New("late"))
		}, reason: errs.ReasonDeadline},
		{name: "connection reset", answer: func(context.Context, *medlarv1.SearchResponse) error { panic(http.ErrAbortHandler) }, reason: errs.ReasonConnectionLost, crash: true},
		{name: "connection refused", closed: true, reason: errs.ReasonConnectionLost, notRun: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newWorkerFixture(t)
			r.leaf.answer = row.answer
			if row.closed {
				r.leaf.server.Close()
			}
			r.deliver(requestReceived{request: r.request()})
			r.deliver(<-r.inbox)
			reply := r.reply()
			assert.Equal(t, reply.Crash, row.crash)
			if row.reason == "" {
				assert.Assert(t, reply.Failure == nil)
				assert.Equal(t, reply.Shard, row.shard)
				assert.Equal(t, reply.Snapshot, row.snapshot)
				return
			}
			assert.Equal(t, reply.Failure.Reason, row.reason)
			assert.Equal(t, reply.Failure.NotRun, row.notRun)
			assert.Equal(t, r.leaf.runs.Load() == 0, row.closed)
		})
	}
}

// Guards against reporting a cancelled request as not run although it ran, and
// against cancelling a request in a leaf that is warming up.
func TestCancelledWhileItRuns(t *testing.T) {
	for _, warm := range []bool{true, false} {
		r := newWorkerFixture(t)
		cancelled := make(chan struct{})
		release := make(chan struct{})
		r.leaf.answer = func(ctx context.Context, _ *medlarv1.SearchResponse) error {
			select {
			case <-ctx.Done():
				close(cancelled)
			case <-release:
			}
			return ctx.Err()
		}
		if warm {
			r.makeWarm()
		}
		r.deliver(requestReceived{request: r.request()})
		<-r.leaf.started
		r.deliver(requestCancelled{id: r.nextID})
		if !warm {
			close(release)
			r.deliver(<-r.inbox)
			assert.Assert(t, r.reply().Failure == nil)
			continue
		}
		r.deliver(<-r.inbox)
		failure := r.reply().Failure
		assert.Equal(t, failure.Reason, errs.ReasonCancelled)
		assert.Assert(t, !failure.NotRun)
		<-cancelled
	}
}

// Guards against a cancellation that also cancels another entry's request, which
// has the same request ID on another connection.
func TestCancellationReachesItsRequestOnly(t *testing.T) {
	r := newWorkerFixture(t)
	s := newTestServer(r)
	entry := dialRelay(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = entry.Call(ctx, wire.KindLeafRequest, "s", pinnedSnapshot, searchRequest) }()
	arrived := (<-r.inbox).(requestReceived)
	var key callKey
	for key = range s.calls.calls {
	}
	s.handle(dialRelay(t, s), &wire.Envelope{Kind: wire.KindCancel, ID: key.id})
	assert.Equal(t, len(r.inbox), 0)
	cancel()
	assert.Equal(t, <-r.inbox, workerEvent(requestCancelled{id: arrived.request.id}))
	arrived.request.answer(&message.LeafReply{Leaf: "leaf"})
	assert.Equal(t, len(s.calls.calls), 0)
}
