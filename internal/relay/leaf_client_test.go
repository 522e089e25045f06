package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against compressed replies, which cost the leaf and the relay more CPU
// time than the rest of the call.
func TestLeafRepliesAreNotCompressed(t *testing.T) {
	accepted, encoding := make(chan string, 1), make(chan string, 1)
	_, leaf := medlarv1connect.NewLeafServiceHandler(benchLeaf{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accepted <- r.Header.Get("Accept-Encoding")
		leaf.ServeHTTP(w, r)
		encoding <- w.Header().Get("Content-Encoding")
	}))
	defer server.Close()
	client := newLeafClient(&topology.Leaf{ID: "leaf", Address: server.Listener.Addr().String()}, 1, func(uint64) {})
	defer client.close()
	req := &leafRequest{message: message.LeafRequest{Op: message.OpSearch}}
	result := client.run(t.Context(), req, time.Now().Add(time.Second))
	assert.Assert(t, result.err == nil, "%v", result.err)
	assert.Equal(t, len(result.hits), 10)
	assert.Equal(t, <-accepted, "")
	assert.Equal(t, <-encoding, "")
}

// Guards against a dispatch to a restarted leaf whose closed connection no goroutine
// has noticed yet: on a busy machine a pending read can return after the dispatch.
func TestCloseIsDetectedWithoutAPendingRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client := newLeafClient(&topology.Leaf{ID: "leaf", Address: listener.Addr().String()}, 2, func(uint64) {})
	conn, err := client.dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	assert.Equal(t, client.closedByLeaf(), uint64(0))
	assert.NilError(t, accepted.Close())
	assert.Equal(t, client.closedByLeaf(), uint64(1))
	assert.Equal(t, client.closedByLeaf(), uint64(1))
}
