package relay

import (
	"net"
	"sync/atomic"
	"syscall"
)

// leafConn is a connection to a leaf that reports when the leaf closes it. The
// HTTP client always has a read pending, so the close is also detected while no
// request runs. detectClose does not depend on when that read is scheduled.
type leafConn struct {
	net.Conn
	// onRemoteClose is called before Read returns the error.
	onRemoteClose func()
	// onLocalClose is called before this side closes the connection.
	onLocalClose func(*leafConn)
	// closedLocally is set when this side closes the connection.
	closedLocally atomic.Bool
	reported      atomic.Bool
}

// Read implements net.Conn.
func (c *leafConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.reportClose()
	}
	return n, err
}

func (c *leafConn) reportClose() {
	if !c.closedLocally.Load() && !c.reported.Swap(true) {
		c.onRemoteClose()
	}
}

// detectClose reports the connection as closed if the kernel has received the
// leaf's close. It reads nothing from the connection and does not block, also while
// a Read is pending.
func (c *leafConn) detectClose() {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return // closed on this side
	}
	closed := false
	if err := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || err == syscall.ECONNRESET
	}); err == nil && closed {
		c.reportClose()
	}
}

// Close implements net.Conn.
func (c *leafConn) Close() error {
	c.closedLocally.Store(true)
	c.onLocalClose(c)
	return c.Conn.Close()
}
