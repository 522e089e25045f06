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

// Each row guards against a caller that gets the reply to another request.
func TestReplies(t *testing.T) {
	rows := []struct {
		name    string
		replies func(f *fake, a, b *Envelope)
		wantA   string // "" for no reply by the deadline
		wantB   string
		strays  int64
	}{
		{"crossed", func(f *fake, a, b *Envelope) { f.send(answer(f.t, b, "b")); f.send(answer(f.t, a, "a")) }, "a", "b", 0},
		{"late", func(f *fake, a, b *Envelope) {
			f.send(answer(f.t, b, "b"))
			time.Sleep(1500 * time.Millisecond)
			f.send(answer(f.t, a, "a"))
		}, "", "b", 1},
		{"repeated", func(f *fake, a, b *Envelope) {
			for range 3 {
				f.send(answer(f.t, a, "a"))
			}
			f.send(answer(f.t, b, "b"))
		}, "a", "b", 2},
		{"another shard", func(f *fake, a, b *Envelope) {
			wrong := answer(f.t, a, "x")
			wrong.Shard = b.Shard
			f.send(wrong)
			f.send(answer(f.t, b, "b"))
		}, "", "b", 1},
		{"another snapshot, then the right one", func(f *fake, a, b *Envelope) {
			wrong := answer(f.t, a, "x")
			wrong.Snapshot.IndexVersion++
			f.send(wrong)
			f.send(answer(f.t, a, "a"))
			f.send(answer(f.t, b, "b"))
		}, "a", "b", 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, f := connect(t, nil, true)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				callA := start(p, ctx, "s1", "?")
				a := <-f.in
				callB := start(p, ctx, "s2", "?")
				row.replies(f, a, <-f.in)
				synctest.Wait()
				for call, want := range map[chan result]string{callA: row.wantA, callB: row.wantB} {
					r := <-call
					if want == "" {
						wantLost(t, r, errs.ReasonDeadline, false)
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

// Each row guards against a call that hangs, or claims that it did not run,
// when the connection fails after its frame was written.
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
		{"silent", nil, false, idleTimeout},
		{"silent in mid-answer", append(length(100), 1, 2, 3), false, idleTimeout},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, f := connect(t, nil, true)
				call := start(p, t.Context(), "s1", "?")
				<-f.in
				began := time.Now()
				_, _ = f.conn.Write(row.bytes)
				if row.close {
					_ = f.conn.Close()
				}
				wantLost(t, <-call, errs.ReasonConnectionLost, false)
				assert.Equal(t, time.Since(began), row.after)
				wantLost(t, <-start(p, t.Context(), "s1", "?"), errs.ReasonConnectionLost, true)
			})
		})
	}
}

// Guards against one message that is too large and ends all calls of the
// connection, or is reported as run.
func TestOversizeBodyFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, true)
		open := start(p, t.Context(), "s1", "?")
		first, large := <-f.in, strings.Repeat("x", MaxFrameBytes)
		wantLost(t, <-start(p, t.Context(), "s1", large), errs.ReasonInvalid, true)
		assert.ErrorIs(t, p.Reply(&Envelope{ID: 1}, KindLeafReply, large), ErrFrameTooLarge)
		assert.ErrorIs(t, p.Notify(KindLossReport, large), ErrFrameTooLarge)
		synctest.Wait()
		f.send(answer(t, first, "a"))
		assert.Equal(t, (<-open).text, "a")
	})
}

// Guards against work that goes on at the peer after its caller has gone.
func TestCancelIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, true)
		ctx, cancel := context.WithCancel(t.Context())
		call := start(p, ctx, "s1", "?")
		request := <-f.in
		cancel()
		wantLost(t, <-call, errs.ReasonCancelled, false)
		got := <-f.in
		assert.Equal(t, got.Kind, KindCancel)
		assert.Equal(t, got.ID, request.ID)
	})
}

// Guards against a reply from before a reconnect that answers a new call.
func TestRequestIDsDifferAfterReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, true)
		start(p, t.Context(), "s1", "?")
		old := <-f.in
		p.Close()
		p, f = connect(t, nil, true)
		call := start(p, t.Context(), "s1", "?")
		request := <-f.in
		f.send(answer(t, old, "old"))
		f.send(answer(t, request, "new"))
		assert.Equal(t, (<-call).text, "new")
	})
}

// Guards against an answer that is thrown away because the deadline passed
// while it was being delivered.
func TestDeliveredReplyWinsOverDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := connect(t, nil, true)
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
