package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Guards against a request that is refused as not run and reaches the leaf all
// the same, and against one that waits for a leaf that can get no work.
func TestWorkerRefusals(t *testing.T) {
	report := func(leaving bool) probeEnded {
		return probeEnded{report: &medlarv1.ReportResponse{BootId: 1, Leaving: leaving}}
	}
	down := func(r *rig) {
		for range 3 {
			r.take(probeEnded{err: context.DeadlineExceeded})
		}
	}
	rows := []struct {
		name string
		// before happens before the request; with queued, while it waits for
		// the slot of another one.
		before func(r *rig)
		queued bool
		reason errs.Reason
	}{
		{"zone out", func(r *rig) { r.take(accepting{}) }, false, errs.ReasonZoneOut},
		{"zone out while queued", func(r *rig) { r.take(accepting{}) }, true, errs.ReasonZoneOut},
		{"leaving", func(r *rig) { r.take(report(true)) }, false, errs.ReasonLeaving},
		{"leaving while queued", func(r *rig) { r.take(report(true)) }, true, errs.ReasonLeaving},
		{"down", down, false, errs.ReasonDown},
		{"down while queued", down, true, errs.ReasonDown},
		{"retired", func(r *rig) { r.take(retired{}) }, false, errs.ReasonNotOwner},
		{"retired while queued", func(r *rig) { r.take(retired{}) }, true, errs.ReasonNotOwner},
		{"cold without lease", func(r *rig) { r.grants.held = false }, false, errs.ReasonCold},
		{"lease lost while queued", func(r *rig) { r.grants.held = false; r.take(leaseChanged{}) }, true, errs.ReasonCold},
		{"lease lost before dispatch", func(r *rig) { r.grants.dispatch = false }, false, errs.ReasonCold},
		{"cancelled while queued", func(r *rig) { r.take(requestCancelled{id: r.nextID}) }, true, errs.ReasonCancelled},
		{"queue full", func(r *rig) {
			for range maxQueued {
				r.take(requestArrived{request: r.request()})
			}
		}, true, errs.ReasonOverloaded},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newRig(t)
			release := func() {}
			runs := int32(0)
			if row.queued {
				release = r.occupy()
				r.take(requestArrived{request: r.request()})
				runs++
			}
			row.before(r)
			if !row.queued {
				r.take(requestArrived{request: r.request()})
			}
			refusal := r.reply()
			assert.Equal(t, refusal.Failure.Reason, row.reason)
			assert.Assert(t, refusal.Failure.NotRun)
			release()
			if row.queued {
				r.take(<-r.inbox)
				assert.Assert(t, r.reply().Failure == nil, "the running request was cut off")
			}
			if row.reason != errs.ReasonOverloaded {
				assert.Equal(t, r.queue.Running(), 0)
				assert.Equal(t, r.leaf.runs.Load(), runs)
			}
		})
	}
}

// Guards against work that starts after its start-by or its deadline.
func TestExpiredRequests(t *testing.T) {
	r := newRig(t)
	late := r.request()
	late.startBy = r.proc.Now()
	r.take(requestArrived{request: late})
	refusal := r.reply()
	assert.Equal(t, refusal.Failure.Reason, errs.ReasonStartBy)
	assert.Assert(t, refusal.Failure.NotRun)
	late = r.request()
	late.deadline = r.proc.Now()
	r.take(requestArrived{request: late})
	r.take(<-r.inbox)
	refusal = r.reply()
	assert.Equal(t, refusal.Failure.Reason, errs.ReasonDeadline)
	assert.Assert(t, refusal.Failure.NotRun)
	assert.Equal(t, r.leaf.runs.Load(), int32(0))
}

// Guards against a slot that stays taken for ever, because the inbox had no
// room for the return of a request that lost its lease before dispatch.
func TestSlotReturnsWithFullInbox(t *testing.T) {
	r := newRig(t)
	for r.post(leaseChanged{}) {
	}
	r.grants.dispatch = false
	r.take(requestArrived{request: r.request()})
	assert.Equal(t, r.reply().Failure.Reason, errs.ReasonCold)
	for len(r.inbox) > 0 {
		r.take(<-r.inbox)
	}
	assert.Equal(t, r.queue.Running(), 0)
}

// fakeAgent is an agent that allows work or not.
type fakeAgent struct {
	agentLink
	accepts bool
}

func (f fakeAgent) MayAccept() bool { return f.accepts }

// dialRelay returns an entry's connection to a relay.
func dialRelay(t *testing.T, s *Server) *wire.Peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.frames.Serve(context.Background(), ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	entry := telemetry.NewProcess("vm-2", "a", wire.RoleEntry)
	p, err := wire.NewPeer(context.Background(), conn, entry.Self, entry.WireOptions(func(*wire.Peer, *wire.Envelope) {}))
	assert.NilError(t, err)
	t.Cleanup(func() { p.Close(); _ = ln.Close(); s.frames.Close() })
	return p
}

// newTestServer returns a relay that serves a rig's leaf.
func newTestServer(r *rig) *Server {
	s := NewServer(telemetry.NewProcess("vm-1", "a", wire.RoleRelay))
	s.agent = fakeAgent{accepts: true}
	s.topology = &topology.Topology{Generation: 1}
	s.workers["leaf"] = r.leafWorker
	return s
}

var second = message.LeafRequest{Leaf: "leaf", Op: message.OpSearch, StartBy: time.Minute, Deadline: time.Minute}

// Guards against a refusal without an answer, with a false reason, or that
// leaves the request behind in a worker.
func TestServerRefusals(t *testing.T) {
	rows := []struct {
		name   string
		set    func(s *Server, r *rig)
		body   any
		reason errs.Reason
	}{
		{"paused", func(s *Server, _ *rig) { s.agent = fakeAgent{} }, second, errs.ReasonPaused},
		{"draining", func(s *Server, _ *rig) { s.refuseNew() }, second, errs.ReasonDraining},
		{"no configuration", func(s *Server, _ *rig) { s.topology = nil; clear(s.workers) }, second, errs.ReasonNoConfig},
		{"not owner", func(s *Server, _ *rig) { clear(s.workers) }, second, errs.ReasonNotOwner},
		{"unreadable", func(*Server, *rig) {}, "text", errs.ReasonInvalid},
		{"inbox full", func(_ *Server, r *rig) {
			for r.post(leaseChanged{}) {
			}
		}, second, errs.ReasonOverloaded},
		{"worker ended", func(_ *Server, r *rig) { r.end() }, second, errs.ReasonOverloaded},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newRig(t)
			s := newTestServer(r)
			row.set(s, r)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			env, err := dialRelay(t, s).Call(ctx, wire.KindLeafRequest, "s", pinned, row.body)
			assert.NilError(t, err)
			var reply message.LeafReply
			assert.NilError(t, wire.DecodeBody(env, &reply))
			assert.Equal(t, reply.Failure.Reason, row.reason)
			assert.Assert(t, reply.Failure.NotRun)
			for len(r.inbox) > 0 {
				r.take(<-r.inbox)
			}
			s.calls.mu.Lock()
			defer s.calls.mu.Unlock()
			assert.Equal(t, len(r.requests)+len(s.calls.calls), 0)
			assert.Equal(t, r.leaf.runs.Load(), int32(0))
			assert.Assert(t, s.drain.Wait(time.Second), "a stop would wait for the refused request")
		})
	}
}
