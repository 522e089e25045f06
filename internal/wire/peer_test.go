package wire

import (
	"context"
	"encoding/binary"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Guards against a caller that receives the reply to another request. Each row
// is one way in which replies and calls can be confused.
func TestReplies(t *testing.T) {
	rows := []struct {
		name    string
		replies func(f *fakePeer, a, b *Envelope)
		wantA   string // "" for no reply by the deadline
		wantB   string
		strays  int64
	}{
		{"crossed", func(f *fakePeer, a, b *Envelope) { f.send(newReply(f.t, b, "b")); f.send(newReply(f.t, a, "a")) }, "a", "b", 0},
		{"late", func(f *fakePeer, a, b *Envelope) {
			f.send(newReply(f.t, b, "b"))
			time.Sleep(1500 * time.Millisecond)
			f.send(newReply(f.t, a, "a"))
		}, "", "b", 1},
		{"repeated", func(f *fakePeer, a, b *Envelope) {
			for range 3 {
				f.send(newReply(f.t, a, "a"))
			}
			f.send(newReply(f.t, b, "b"))
		}, "a", "b", 2},
		{"another shard", func(f *fakePeer, a, b *Envelope) {
			wrong := newReply(f.t, a, "x")
			wrong.Shard = b.Shard
			f.send(wrong)
			f.send(newReply(f.t, b, "b"))
		}, "", "b", 1},
		{"another snapshot, then the right one", func(f *fakePeer, a, b *Envelope) {
			wrong := newReply(f.t, a, "x")
			wrong.Snapshot.IndexVersion++
			f.send(wrong)
			f.send(newReply(f.t, a, "a"))
			f.send(newReply(f.t, b, "b"))
		}, "a", "b", 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, f := connectFake(t, nil, true)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				callA := startCall(p, ctx, "s1", "?")
				a := <-f.received
				callB := startCall(p, ctx, "s2", "?")
				row.replies(f, a, <-f.received)
				synctest.Wait()
				for call, want := range map[chan callResult]string{callA: row.wantA, callB: row.wantB} {
					r := <-call
					if want == "" {
						assertCallFailed(t, r, errs.ReasonDeadline, false)
						continue
					}
					assert.Equal(t, r.text, want)
				}
				synctest.Wait()
				assert.Equal(t, p.stats.strayReplies.Count(), row.strays)
				assert.Equal(t, len(p.pending), 0)
			})
		})
	}
}

// Guards against a call that hangs, or that reports that its request did not
// run, when the connection fails after the frame was written.
func TestConnectionFaults(t *testing.T) {
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	rows := []struct {
		name  string
		bytes []byte
		close bool
		after time.Duration
	}{
		{"connection lost", nil, true, 0},
		{"truncated frame", append(length(100), 1, 2, 3), true, 0},
		{"oversize frame", length(MaxFrameBytes + 1), false, 0},
		{"malformed frame", append(length(3), 0xc1, 0xc1, 0xc1), false, 0},
		{"unresponsive", nil, false, idleTimeout},
		{"unresponsive in the middle of a frame", append(length(100), 1, 2, 3), false, idleTimeout},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, f := connectFake(t, nil, true)
				call := startCall(p, t.Context(), "s1", "?")
				<-f.received
				start := time.Now()
				_, _ = f.conn.Write(row.bytes)
				if row.close {
					_ = f.conn.Close()
				}
				assertCallFailed(t, <-call, errs.ReasonConnectionLost, false)
				assert.Equal(t, time.Since(start), row.after)
				assertCallFailed(t, <-startCall(p, t.Context(), "s1", "?"), errs.ReasonConnectionLost, true)
			})
		})
	}
}

// Guards against an oversized message that fails all calls on the connection, or
// whose request is reported as run.
func TestOversizeBodyFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, true)
		open := startCall(p, t.Context(), "s1", "?")
		first, large := <-f.received, strings.Repeat("x", MaxFrameBytes)
		assertCallFailed(t, <-startCall(p, t.Context(), "s1", large), errs.ReasonInvalid, true)
		assert.ErrorIs(t, p.Reply(&Envelope{ID: 1}, KindLeafReply, large), ErrFrameTooLarge)
		assert.ErrorIs(t, p.Notify(KindLossReport, large), ErrFrameTooLarge)
		synctest.Wait()
		f.send(newReply(t, first, "a"))
		assert.Equal(t, (<-open).text, "a")
	})
}

// Guards against a request that continues to run at the peer after its caller
// has cancelled it.
func TestCancelIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, true)
		ctx, cancel := context.WithCancel(t.Context())
		call := startCall(p, ctx, "s1", "?")
		request := <-f.received
		cancel()
		assertCallFailed(t, <-call, errs.ReasonCancelled, false)
		got := <-f.received
		assert.Equal(t, got.Kind, KindCancel)
		assert.Equal(t, got.ID, request.ID)
	})
}

// Guards against a reply from before a reconnect that is matched to a new call.
func TestRequestIDsDifferAfterReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, true)
		startCall(p, t.Context(), "s1", "?")
		old := <-f.received
		p.Close()
		p, f = connectFake(t, nil, true)
		call := startCall(p, t.Context(), "s1", "?")
		request := <-f.received
		f.send(newReply(t, old, "old"))
		f.send(newReply(t, request, "new"))
		assert.Equal(t, (<-call).text, "new")
	})
}

// Guards against discarding a delivered reply because the deadline passed during
// the delivery.
func TestDeliveredReplyWinsOverDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := connectFake(t, nil, true)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			call := &pendingCall{out: &outgoing{env: &Envelope{ID: 1}}, reply: make(chan *Envelope, 1)}
			call.out.claim()
			call.reply <- &Envelope{ID: 1}
			_, err := p.await(ctx, call)
			assert.NilError(t, err)
		}
	})
}

// Guards against one message that ends the process, or that leaves its connection open
// without a reader.
func TestPanicInAHandlerClosesOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, func(_ *Peer, env *Envelope) { panic("test") }, true)
		other, _ := connectFake(t, nil, true)
		f.send(&Envelope{Kind: KindFeedRequest, ID: 1})
		<-p.Done()
		assert.Equal(t, p.stats.panics.Count(), int64(1))
		select {
		case <-other.Done():
			t.Fatal("another connection is closed")
		default:
		}
	})
}
