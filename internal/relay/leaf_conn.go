package relay

import (
	"net"
	"sync/atomic"
)

// leafConn is a connection to a leaf that reports when the leaf closes it. The
// HTTP client reads from a connection all the time, so it notices the end also
// while no request runs.
type leafConn struct {
	net.Conn
	// onRemoteClose is called before the end is returned to the reader.
	onRemoteClose func()
	// closedLocally is true once this side has closed the connection.
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
