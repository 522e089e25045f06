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
	// ended is called before the end is returned to the reader.
	ended func()
	// local is true once this side has closed the connection.
	local atomic.Bool
	once  atomic.Bool
}

// Read implements net.Conn.
func (c *leafConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !c.local.Load() && !c.once.Swap(true) {
		c.ended()
	}
	return n, err
}

// Close implements net.Conn.
func (c *leafConn) Close() error {
	c.local.Store(true)
	return c.Conn.Close()
}
