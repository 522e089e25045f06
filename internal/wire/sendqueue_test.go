package wire

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// Guards against a peer that stops reading and makes this process queue
// thousands of large frames, up to 16 GiB.
func TestSendQueueIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, false)
		go f.ping(5)
		large := strings.Repeat("x", 2<<20)
		for range 2 * maxQueuedBytes / len(large) {
			startCall(p, t.Context(), "s1", large)
			synctest.Wait()
		}
		assertCallFailed(t, <-startCall(p, t.Context(), "s1", large), errs.ReasonOverloaded, true)
		assert.Assert(t, p.queuedBytes.Load() <= maxQueuedBytes, "%d bytes", p.queuedBytes.Load())
		start := time.Now()
		assert.NilError(t, p.Reply(&Envelope{ID: 1}, KindLeafReply, large))
		assert.Assert(t, time.Since(start) <= writeTimeout, "reply waited %v", time.Since(start))
		dropped := p.stats.droppedSends.Count()
		assert.NilError(t, p.Notify(KindLossReport, large))
		assert.Equal(t, p.stats.droppedSends.Count(), dropped+1)
	})
}

// Guards against bytes that stay counted after their frames were written, until
// the send queue counts as full and all calls are refused.
func TestQueuedBytesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connectFake(t, nil, true)
		large := strings.Repeat("x", 2<<20)
		for range 2 * maxQueuedBytes / len(large) {
			call := startCall(p, t.Context(), "s1", large)
			f.send(newReply(t, <-f.received, "a"))
			assert.Equal(t, (<-call).text, "a")
		}
		synctest.Wait()
		assert.Equal(t, p.queuedBytes.Load(), int64(0))
	})
}

// Guards against a duplicate reply that is not counted because the call has
// received the first one but has not returned yet.
func TestRepeatedReplyIsCountedAsStray(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := connectFake(t, nil, true)
		call := &pendingCall{out: &outgoing{env: &Envelope{ID: 5}}, reply: make(chan *Envelope, 1)}
		assert.NilError(t, p.register(call))
		p.deliverReply(&Envelope{ID: 5, Reply: true})
		<-call.reply
		p.deliverReply(&Envelope{ID: 5, Reply: true})
		assert.Equal(t, p.stats.strayReplies.Count(), int64(1))
	})
}
