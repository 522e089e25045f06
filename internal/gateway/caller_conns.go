package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHeaderBytes bounds a request's headers before a configuration is known.
	maxHeaderBytes = 64 << 10
	// idleSlack is added to the configured idle time of callers' connections, so
	// that a request that is sent within it does not cross the close.
	idleSlack = 2 * time.Second
)

// callerConns closes callers' connections that are idle for longer than the
// configuration allows. The limit may change while a connection is open. It is
// safe for concurrent use.
type callerConns struct {
	node *Node
	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newCallerConns(n *Node) *callerConns {
	return &callerConns{node: n, idle: make(map[net.Conn]time.Time)}
}

// changed follows the state of a connection.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = time.Now()
	} else {
		delete(c.idle, conn)
	}
}

// closeIdle closes the connections whose idle time is over.
func (c *callerConns) closeIdle(now time.Time) {
	conf := c.node.inForce.Load()
	if conf == nil || conf.Limits.IdleTimeout <= 0 {
		return
	}
	limit := conf.Limits.IdleTimeout + idleSlack
	c.mu.Lock()
	var over []net.Conn
	for conn, since := range c.idle {
		if now.Sub(since) > limit {
			over = append(over, conn)
			delete(c.idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range over {
		// The caller may have closed it at the same moment.
		_ = conn.Close()
	}
}
