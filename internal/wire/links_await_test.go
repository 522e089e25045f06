package wire

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a forward that fails because the peer is reachable again but
// the backoff before the next dial has not expired.
func TestLinksAwaitDialsAtOnce(t *testing.T) {
	addr, links := newWaitingLink(t)
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	defer ln.Close()
	server := NewServer(Hello{}, testOptions(nil))
	defer server.Close()
	go func() { _ = server.Serve(t.Context(), ln) }()
	start := time.Now()
	assert.Assert(t, links.Await(t.Context(), addr) != nil)
	assert.Assert(t, time.Since(start) < awaitTimeout)
}

// Guards against a forward that waits too long for a peer that is unreachable.
func TestLinksAwaitIsBounded(t *testing.T) {
	addr, links := newWaitingLink(t)
	start := time.Now()
	assert.Assert(t, links.Await(t.Context(), addr) == nil)
	assert.Assert(t, time.Since(start) < 2*awaitTimeout)
	assert.Assert(t, links.Await(t.Context(), "127.0.0.1:1") == nil, "unknown address")
}

// newWaitingLink returns Links that are in a backoff of a minute before they dial
// an address on which nothing listens.
func newWaitingLink(t *testing.T) (string, *Links) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	links := NewLinks(Hello{}, testOptions(nil))
	link := &managedLink{cancel: func() {}, connected: make(chan struct{}), dialNow: make(chan struct{}, 1)}
	links.links[addr] = link
	go func() {
		link.waitBeforeDial(t.Context(), time.Minute)
		links.maintain(t.Context(), addr, link)
	}()
	return addr, links
}
