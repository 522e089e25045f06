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
	// idleSlack is added to the configured idle time of callers' connections, so
	// that a request that is sent within it does not cross the close.
	idleSlack = 2 * time.Second
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

// opened takes in a connection and makes it known to its requests.
func (c *callerConns) opened(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := &callerConn{Conn: conn}
	c.conns[conn] = held
	return context.WithValue(ctx, callerConnKey{}, held)
}

// changed follows the state of a connection.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if held := c.conns[conn]; held != nil {
			held.rest(time.Now())
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	case http.StateNew, http.StateActive:
	}
}

// closeIdle closes the connections whose idle time is over.
func (c *callerConns) closeIdle(now time.Time) {
	conf := c.node.inForce.Load()
	if conf == nil || conf.Limits.IdleTimeout <= 0 {
		return
	}
	since := now.Add(-conf.Limits.IdleTimeout - idleSlack)
	for _, held := range c.idle(since) {
		held.closeIdle(since)
	}
}

// end tells the callers of all idle connections that these will be closed.
func (c *callerConns) end() {
	for _, held := range c.idle(time.Now()) {
		header := make(http.Header)
		c.node.codec.SetRefusalHeader(header, "", elsewhereRetry)
		if err := held.end(header); err != nil {
			klog.V(1).InfoS("Cannot tell a caller of the stop", "caller", held.RemoteAddr(), "err", err)
		}
	}
}

// idle returns the connections that have been idle since a time or longer.
func (c *callerConns) idle(since time.Time) []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*callerConn
	for _, held := range c.conns {
		if held.idleFor(since) {
			out = append(out, held)
		}
	}
	return out
}
