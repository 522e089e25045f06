package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxHeaderBytes bounds a request's headers before a configuration is known.
	maxHeaderBytes = 64 << 10
	// idleTimeoutMargin is added to the configured idle time of callers' connections, so
	// that a request that is sent within it does not cross the close.
	idleTimeoutMargin = 2 * time.Second
)

// callerConns closes callers' connections that are idle for longer than the
// configuration allows, and ends idle ones at a stop. The limit may change while a
// connection is open. It is safe for concurrent use.
type callerConns struct {
	node  *Node
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

func newCallerConns(n *Node) *callerConns {
	return &callerConns{node: n, conns: make(map[net.Conn]*callerConn)}
}

// connContext takes in a connection and makes it known to its requests.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := &callerConn{Conn: conn}
	c.conns[conn] = held
	return context.WithValue(ctx, callerConnKey{}, held)
}

// connState follows the state of a connection.
func (c *callerConns) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if held := c.conns[conn]; held != nil {
			held.markIdle(time.Now())
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	case http.StateNew, http.StateActive:
	}
}

// closeIdle closes the connections whose idle time is over.
func (c *callerConns) closeIdle(now time.Time) {
	conf := c.node.activeConfiguration.Load()
	if conf == nil || conf.Limits.IdleTimeout <= 0 {
		return
	}
	since := now.Add(-conf.Limits.IdleTimeout - idleTimeoutMargin)
	for _, held := range c.idleSince(since) {
		held.closeIdle(since)
	}
}

// closeAllIdle tells the callers of all idle connections that these will be closed.
func (c *callerConns) closeAllIdle() {
	for _, held := range c.idleSince(time.Now()) {
		header := make(http.Header)
		c.node.codec.SetRefusalHeader(header, "", otherVMRetryAfter)
		if err := held.sendClose(header); err != nil {
			klog.V(1).InfoS("Cannot tell a caller of the stop", "caller", held.RemoteAddr(), "err", err)
		}
	}
}

// idleSince returns the connections that have been idleSince since a time or longer.
func (c *callerConns) idleSince(since time.Time) []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*callerConn
	for _, held := range c.conns {
		if held.isIdleSince(since) {
			out = append(out, held)
		}
	}
	return out
}
