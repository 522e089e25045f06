package wire

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Guards against a call that reports that its request may have run while its
// frame was still queued, and against calls that block forever because the peer
// has stopped reading.
func TestPeerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, false)
		go f.ping(5)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		written := startCall(p, t.Context(), "s1", "?")
		synctest.Wait()
		queued, cancelled := startCall(p, t.Context(), "s1", "?"), startCall(p, ctx, "s1", "?")
		assertCallFailed(t, <-cancelled, errs.ReasonDeadline, true)
		assertCallFailed(t, <-written, errs.ReasonConnectionLost, false)
		assertCallFailed(t, <-queued, errs.ReasonConnectionLost, true)
	})
}

// Guards against a handler that blocks forever in Reply because the peer sends
// requests but reads no replies.
func TestBlockedWriterReleasesReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, func(p *Peer, env *Envelope) { _ = p.Reply(env, KindLeafReply, "x") }, false)
		start := time.Now()
		for n := uint64(1); p.closeError() == nil; n++ {
			f.send(&Envelope{ID: n, Kind: KindLeafRequest})
		}
		assert.Assert(t, time.Since(start) <= writeTimeout, "%v", time.Since(start))
	})
}

// Guards against closing a connection as idle because its handler is slow.
func TestSlowHandlerKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, func(*Peer, *Envelope) { time.Sleep(3 * idleTimeout) }, true)
		f.send(&Envelope{ID: 1, Kind: KindLeafRequest})
		f.ping(2)
		call := startCall(p, t.Context(), "s1", "?")
		f.send(newReply(t, <-f.received, "a"))
		assert.Equal(t, (<-call).text, "a")
	})
}

// Guards against closing a connection on which a large frame arrives over a slow
// link and takes longer than idleTimeout.
func TestSlowFrameIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, true)
		call := startCall(p, t.Context(), "s1", "?")
		frame, err := encodeFrame(newReply(t, <-f.received, "abcdefgh"))
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

// Guards against a write timeout on a busy connection, whose send queue is never
// empty, although the peer keeps reading.
func TestSustainedWritesDoNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, false)
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
			_ = p.Notify(KindLossReport, text)
			assert.Assert(t, p.closeError() == nil, "closed: %v", p.closeError())
		}
	})
}
