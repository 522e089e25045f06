package agentlink

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Guards against a process that starts before its agent listens and then waits for
// up to 4 s between two dials, which is more than half of the time within which an
// edit must take effect.
func TestAgentThatListensLateIsReachedAtOnce(t *testing.T) {
	const (
		late  = 3 * time.Second
		limit = 600 * time.Millisecond
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	link := New(telemetry.NewProcess("vm-1", "z", wire.RoleEntry), addr, receiver{
		generations: make(chan uint64, 1), views: make(chan uint64, 1),
	})
	go link.Run(ctx)
	time.Sleep(late)

	proc := telemetry.NewProcess(topology.VMID("vm-1"), "z", wire.RoleAgent)
	server := wire.NewServer(proc.Self, proc.WireOptions(func(*wire.Peer, *wire.Envelope) {}))
	connected := make(chan struct{}, 10)
	server.OnPeer = func(*wire.Peer) { connected <- struct{}{} }
	ln, err = net.Listen("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = ln.Close(); server.Close() }()
	go func() { _ = server.Serve(ctx, ln) }()
	select {
	case <-connected:
	case <-time.After(limit):
		t.Fatalf("no connection %s after the agent began to listen", limit)
	}
}
