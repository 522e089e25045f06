package wire

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
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

// Guards against a frame that waits in the queue and is reported as run, and
// against a peer that stops reading and holds up calls for good.
func TestPeerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, false)
		go f.ping(5)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		written := start(p, t.Context(), "s1", "?")
		synctest.Wait()
		queued, cancelled := start(p, t.Context(), "s1", "?"), start(p, ctx, "s1", "?")
		wantLost(t, <-cancelled, errs.ReasonDeadline, true)
		wantLost(t, <-written, errs.ReasonConnectionLost, false)
		wantLost(t, <-queued, errs.ReasonConnectionLost, true)
	})
}

// Guards against a handler that waits in Reply for good, with its goroutines,
// while the peer sends requests and reads nothing.
func TestBlockedWriterReleasesReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, func(p *Peer, env *Envelope) { _ = p.Reply(env, KindLeafReply, "x") }, false)
		began := time.Now()
		for n := uint64(1); p.closeError() == nil; n++ {
			f.send(&Envelope{ID: n, Kind: KindLeafRequest})
		}
		assert.Assert(t, time.Since(began) <= writeTimeout, "%v", time.Since(began))
	})
}

// Guards against a slow handler that costs the connection.
func TestSlowHandlerKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, func(*Peer, *Envelope) { time.Sleep(3 * idleTimeout) }, true)
		f.send(&Envelope{ID: 1, Kind: KindLeafRequest})
		f.ping(2)
		call := start(p, t.Context(), "s1", "?")
		f.send(answer(t, <-f.in, "a"))
		assert.Equal(t, (<-call).text, "a")
	})
}

// Guards against a connection that is closed while bytes arrive: a large frame
// over a slow link takes longer than idleTimeout.
func TestSlowFrameIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, true)
		call := start(p, t.Context(), "s1", "?")
		frame, err := encodeFrame(answer(t, <-f.in, "abcdefgh"))
		assert.NilError(t, err)
		for len(frame) > 0 {
			time.Sleep(time.Second)
			n := min(len(frame), 4)
			_, _ = f.conn.Write(frame[:n])
			frame = frame[n:]
		}
		assert.Equal(t, (<-call).text, "abcdefgh")
	})
}

// Guards against a write timeout that ends a connection on which frames are
// written all the time, because the send queue is never empty.
func TestSustainedLoadIsNotATimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, false)
		go f.ping(12)
		go func() {
			buf := make([]byte, bufferBytes)
			for {
				if _, err := f.conn.Read(buf); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		text := strings.Repeat("x", 1<<10)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			_ = p.Notify(KindFact, text)
			assert.Assert(t, p.closeError() == nil, "closed: %v", p.closeError())
		}
	})
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
		assert.ErrorIs(t, p.Notify(KindFact, large), ErrFrameTooLarge)
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

// Guards against a request that waits for a dial: the peer accepts the
// connection and never sends its hello.
func TestLinksGetDoesNotWaitForADial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	links := NewLinks(Hello{}, testOptions(nil))
	links.Set(t.Context(), []string{ln.Addr().String()})
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	assert.Assert(t, links.Get(ln.Addr().String()) == nil)
	assert.Assert(t, time.Since(began) < dialTimeout/2, "%v", time.Since(began))
}

// Guards against a lost connection that is not replaced.
func TestLinksReplaceALostConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	server := NewServer(Hello{}, testOptions(nil))
	defer server.Close()
	go func() { _ = server.Serve(t.Context(), ln) }()
	joined := make(chan *Peer, 2)
	links := NewLinks(Hello{}, testOptions(nil))
	links.OnPeer = func(p *Peer) { joined <- p }
	links.Set(t.Context(), []string{ln.Addr().String()})
	first := <-joined
	first.Close()
	second := <-joined
	assert.Assert(t, first != second)
}

func BenchmarkCallLoopback(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer ln.Close()
	server := NewServer(Hello{}, testOptions(func(p *Peer, env *Envelope) { _ = p.Reply(env, KindLeafReply, "reply") }))
	defer server.Close()
	go func() { _ = server.Serve(context.Background(), ln) }()
	joined := make(chan *Peer, 1)
	links := NewLinks(Hello{}, testOptions(nil))
	links.OnPeer = func(p *Peer) { joined <- p }
	links.Set(b.Context(), []string{ln.Addr().String()})
	p := <-joined
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Call(context.Background(), KindLeafRequest, "s1", topology.Snapshot{}, "request"); err != nil {
			b.Fatal(err)
		}
	}
}
