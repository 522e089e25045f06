package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a Get that waits for another caller's dial beyond its own
// deadline.
func TestPoolGetKeepsItsDeadline(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	pool := NewPool(Hello{}, testOptions(nil))
	defer pool.Close()
	first := make(chan error, 1)
	go func() {
		_, err := pool.Get(context.Background(), ln.Addr().String())
		first <- err
	}()
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err = pool.Get(ctx, ln.Addr().String())
	assert.Assert(t, err != nil && time.Since(began) < dialTimeout/2, "%v after %v", err, time.Since(began))
	assert.Assert(t, <-first != nil)
}

func BenchmarkCallLoopback(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer ln.Close()
	server := NewServer(Hello{}, testOptions(func(p *Peer, env *Envelope) { _ = p.Reply(env, KindLeafReply, "reply") }))
	defer server.Close()
	go func() { _ = server.Serve(context.Background(), ln) }()
	pool := NewPool(Hello{}, testOptions(nil))
	defer pool.Close()
	p, err := pool.Get(context.Background(), ln.Addr().String())
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Call(context.Background(), KindLeafRequest, "s1", topology.Snapshot{}, "request"); err != nil {
			b.Fatal(err)
		}
	}
}
