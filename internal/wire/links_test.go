package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a request that waits for a dial. Here the peer accepts the
// connection but never sends its Hello.
func TestLinksGetDoesNotWaitForADial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	links := NewLinks(Hello{}, testOptions(nil))
	links.Set(t.Context(), []string{ln.Addr().String()})
	time.Sleep(20 * time.Millisecond)
	start := time.Now()
	assert.Assert(t, links.Get(ln.Addr().String()) == nil)
	assert.Assert(t, time.Since(start) < dialTimeout/2, "%v", time.Since(start))
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

// Guards against a relay that blocks on an entry that sends requests but reads
// no replies.
func TestReplyOrCloseDoesNotWait(t *testing.T) {
	p := &Peer{
		sendQ: make(chan *outgoing, 1), closed: make(chan struct{}),
		conn: newClosedConn(t), stats: testOptions(nil).Stats,
	}
	request := &Envelope{ID: 1}
	assert.NilError(t, p.ReplyOrClose(request, KindLeafReply, "a"))
	assert.Assert(t, p.closeError() == nil)
	assert.NilError(t, p.ReplyOrClose(request, KindLeafReply, "b"))
	assert.ErrorContains(t, p.closeError(), "does not read")
}

func newClosedConn(t *testing.T) net.Conn {
	a, b := net.Pipe()
	assert.NilError(t, b.Close())
	return a
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
