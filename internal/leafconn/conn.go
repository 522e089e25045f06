package leafconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const readBufferBytes = 4096

// conn is one connection to a leaf.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when the connection must not be used any more.
	idleUntil   time.Time
	idleTimeout time.Duration
	// reused is true when a reply was read on it before.
	reused bool
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// close ends the connection. There is nobody to tell about a failure.
func (c *conn) close() { _ = c.Conn.Close() }

// markIdle marks the connection as idle.
func (c *conn) markIdle(header http.Header) {
	if d, ok := keepAliveTimeout(header); ok {
		c.idleTimeout = d
	}
	c.idleUntil = time.Now().Add(c.idleTimeout - idleMargin)
	c.reused = true
}

// isReusable reports whether an idle connection is open and has received nothing.
// Any byte on it would be taken as the reply to the next request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepAliveTimeout returns the idle time that a leaf states in its reply.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
