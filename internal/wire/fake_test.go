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

var snap = topology.Snapshot{IndexVersion: 3, PartitionGeneration: 2}

func testOptions(h Handler) Options {
	return Options{Clock: timeline.NewClock(time.Now), Handler: h, Stats: NewStats(metrics.NewRegistry())}
}

// fake is the other end of a Peer, under the control of a test.
type fake struct {
	t    *testing.T
	conn net.Conn
	in   chan *Envelope
}

// connect returns a Peer and its fake other end, which has said hello. With
// reads, the fake reads all the time and passes on what is not a ping.
func connect(t *testing.T, h Handler, reads bool) (*Peer, *fake) {
	near, far := net.Pipe()
	f := &fake{t: t, conn: far, in: make(chan *Envelope, 1000)}
	r := bufio.NewReader(far)
	go func() {
		_, _ = readFrame(r)
		f.send(&Envelope{Kind: KindHello, Body: body(t, Hello{VM: "far"})})
		for reads {
			env, err := readFrame(r)
			if err != nil {
				return
			}
			if env.Kind != KindPing {
				f.in <- env
			}
		}
	}()
	p, err := NewPeer(context.Background(), near, Hello{VM: "near"}, testOptions(h))
	assert.NilError(t, err)
	// Goroutines of the test that sleep must end inside its bubble.
	t.Cleanup(func() { p.Close(); time.Sleep(time.Minute) })
	return p, f
}

func body(t *testing.T, v any) []byte {
	raw, err := EncodeBody(v)
	assert.NilError(t, err)
	return raw
}

func (f *fake) send(env *Envelope) {
	frame, err := encodeFrame(env)
	assert.NilError(f.t, err)
	_, _ = f.conn.Write(frame)
}

// ping keeps the connection from being idle for some seconds.
func (f *fake) ping(seconds int) {
	for range seconds {
		f.send(&Envelope{Kind: KindPing})
		time.Sleep(time.Second)
	}
}

func answer(t *testing.T, request *Envelope, text string) *Envelope {
	return &Envelope{ID: request.ID, Kind: KindLeafReply, Reply: true, Shard: request.Shard, Snapshot: request.Snapshot, Body: body(t, text)}
}

// result is what a call returned.
type result struct {
	text string
	err  *errs.Error
}

func start(p *Peer, ctx context.Context, shard string, request any) chan result {
	out := make(chan result, 1)
	go func() {
		env, err := p.Call(ctx, KindLeafRequest, shard, snap, request)
		if err != nil {
			out <- result{err: errs.From(err, "", "")}
			return
		}
		var text string
		_ = DecodeBody(env, &text)
		out <- result{text: text}
	}()
	return out
}

func wantLost(t *testing.T, r result, reason errs.Reason, notRun bool) {
	t.Helper()
	assert.Assert(t, r.err != nil, "got reply %q", r.text)
	assert.Equal(t, r.err.Reason, reason)
	assert.Equal(t, r.err.NotRun, notRun)
}
