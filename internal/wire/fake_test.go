package wire

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

var testSnapshot = topology.Snapshot{IndexVersion: 3, PartitionGeneration: 2}

func testOptions(h Handler) Options {
	return Options{Clock: timeline.NewClock(time.Now), Handler: h, Stats: NewStats(metrics.NewRegistry())}
}

// fakePeer is the other end of a Peer, controlled by a test.
type fakePeer struct {
	t        *testing.T
	conn     net.Conn
	received chan *Envelope
}

// connectFake returns a Peer and its fake other end, after the handshake. With
// drain, the fake continuously reads and puts all messages but pings into
// received. Without, it reads nothing.
func connectFake(t *testing.T, h Handler, drain bool) (*Peer, *fakePeer) {
	near, far := net.Pipe()
	f := &fakePeer{t: t, conn: far, received: make(chan *Envelope, 1000)}
	r := bufio.NewReader(far)
	go func() {
		_, _ = readFrame(r)
		f.send(&Envelope{Kind: KindHello, Body: encodeForTest(t, Hello{VM: "far"})})
		for drain {
			env, err := readFrame(r)
			if err != nil {
				return
			}
			if env.Kind != KindPing {
				f.received <- env
			}
		}
	}()
	p, err := NewPeer(context.Background(), near, Hello{VM: "near"}, testOptions(h))
	assert.NilError(t, err)
	// Sleeping goroutines of the test must finish before its synctest bubble ends.
	t.Cleanup(func() { p.Close(); time.Sleep(time.Minute) })
	return p, f
}

func encodeForTest(t *testing.T, v any) []byte {
	raw, err := EncodeBody(v)
	assert.NilError(t, err)
	return raw
}

func (f *fakePeer) send(env *Envelope) {
	frame, err := encodeFrame(env)
	assert.NilError(f.t, err)
	_, _ = f.conn.Write(frame)
}

// ping sends a ping each second, so that the Peer does not close the connection
// as idle.
func (f *fakePeer) ping(seconds int) {
	for range seconds {
		f.send(&Envelope{Kind: KindPing})
		time.Sleep(time.Second)
	}
}

func newReply(t *testing.T, request *Envelope, text string) *Envelope {
	return &Envelope{ID: request.ID, Kind: KindLeafReply, Reply: true, Shard: request.Shard, Snapshot: request.Snapshot, Body: encodeForTest(t, text)}
}

// callResult is the decoded reply or the error of a call.
type callResult struct {
	text string
	err  *errs.Error
}

func startCall(p *Peer, ctx context.Context, shard string, request any) chan callResult {
	out := make(chan callResult, 1)
	go func() {
		env, err := p.Call(ctx, KindLeafRequest, shard, testSnapshot, request)
		if err != nil {
			out <- callResult{err: errs.From(err, "", "")}
			return
		}
		var text string
		_ = DecodeBody(env, &text)
		out <- callResult{text: text}
	}()
	return out
}

func assertCallFailed(t *testing.T, r callResult, reason errs.Reason, notRun bool) {
	t.Helper()
	assert.Assert(t, r.err != nil, "got reply %q", r.text)
	assert.Equal(t, r.err.Reason, reason)
	assert.Equal(t, r.err.NotRun, notRun)
}
