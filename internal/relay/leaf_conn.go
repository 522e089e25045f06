package relay

import (
	"net"
	"sync/atomic"
)

// leafConn is a connection to a leaf that reports when the leaf closes it. The
// HTTP client always has a read pending, so the close is also detected while no
// request runs.
type leafConn struct {
	net.Conn
	// onRemoteClose is called before Read returns the error.
	onRemoteClose func()
	// closedLocally is set when this side closes the connection.
	closedLocally atomic.Bool
	reported      atomic.Bool
}

// Read implements net.Conn.
func (c *leafConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.closedLocally.Load() && !c.reported.Swap(true) {
		c.onRemoteClose()
	}
	return n, err
}

// Close implements net.Conn.
func (c *leafConn) Close() error {
	c.closedLocally.Store(true)
	return c.Conn.Close()
}
