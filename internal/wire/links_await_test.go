package wire

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a forward that fails because the peer has just come back and
// the next dial is still pausing.
func TestLinksAwaitDialsAtOnce(t *testing.T) {
	addr, entry := pausingLink(t)
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	defer ln.Close()
	server := NewServer(Hello{}, testOptions(nil))
	defer server.Close()
	go func() { _ = server.Serve(t.Context(), ln) }()
	began := time.Now()
	assert.Assert(t, entry.Await(t.Context(), addr) != nil)
	assert.Assert(t, time.Since(began) < awaitTimeout)
}

// Guards against a forward that waits long for a peer that is gone.
func TestLinksAwaitIsBounded(t *testing.T) {
	addr, links := pausingLink(t)
	began := time.Now()
	assert.Assert(t, links.Await(t.Context(), addr) == nil)
	assert.Assert(t, time.Since(began) < 2*awaitTimeout)
	assert.Assert(t, links.Await(t.Context(), "127.0.0.1:1") == nil, "unknown address")
}

// pausingLink returns links that wait for the longest pause before they dial
// an address on which nobody listens.
func pausingLink(t *testing.T) (string, *Links) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	links := NewLinks(Hello{}, testOptions(nil))
	entry := &link{cancel: func() {}, opened: make(chan struct{}), wake: make(chan struct{}, 1)}
	links.links[addr] = entry
	go func() {
		entry.rest(t.Context(), time.Minute)
		links.keep(t.Context(), addr, entry)
	}()
	return addr, links
}
