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
// thousands of large frames, 16 GiB in the worst case.
func TestSendQueueIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, false)
		go f.ping(5)
		large := strings.Repeat("x", 2<<20)
		for range 2 * maxQueuedBytes / len(large) {
			start(p, t.Context(), "s1", large)
			synctest.Wait()
		}
		wantLost(t, <-start(p, t.Context(), "s1", large), errs.ReasonOverloaded, true)
		assert.Assert(t, p.queued.Load() <= maxQueuedBytes, "%d bytes", p.queued.Load())
		began := time.Now()
		assert.NilError(t, p.Reply(&Envelope{ID: 1}, KindLeafReply, large))
		assert.Assert(t, time.Since(began) <= writeTimeout, "reply waited %v", time.Since(began))
		dropped := p.stats.droppedSends.Count()
		assert.NilError(t, p.Notify(KindLossReport, large))
		assert.Equal(t, p.stats.droppedSends.Count(), dropped+1)
	})
}

// Guards against bytes that stay counted after their frames have left, which
// would refuse all calls in the end.
func TestQueuedBytesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f := connect(t, nil, true)
		large := strings.Repeat("x", 2<<20)
		for range 2 * maxQueuedBytes / len(large) {
			call := start(p, t.Context(), "s1", large)
			f.send(answer(t, <-f.in, "a"))
			assert.Equal(t, (<-call).text, "a")
		}
		synctest.Wait()
		assert.Equal(t, p.queued.Load(), int64(0))
	})
}

// Guards against a repeated reply that is not counted because the first one
// has been taken by its call, which has not ended yet.
func TestRepeatAfterTheFirstWasTakenIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := connect(t, nil, true)
		call := &pendingCall{out: &outgoing{env: &Envelope{ID: 5}}, reply: make(chan *Envelope, 1)}
		assert.NilError(t, p.register(call))
		p.deliverReply(&Envelope{ID: 5, Reply: true})
		<-call.reply
		p.deliverReply(&Envelope{ID: 5, Reply: true})
		assert.Equal(t, p.stats.strayReplies.Count(), int64(1))
	})
}
