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
			_ = p.Notify(KindLossReport, text)
			assert.Assert(t, p.closeError() == nil, "closed: %v", p.closeError())
		}
	})
}
