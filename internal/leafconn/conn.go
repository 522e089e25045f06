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
	// limit limits what reader reads.
	limit *limitedReader
	// idleSince is when the connection became idle.
	idleSince time.Time
	// statedTimeout is the idle timeout that the leaf stated, or 0.
	statedTimeout time.Duration
	// namesRequests is true once a reply on the connection named its request.
	namesRequests bool
}

func newConn(raw net.Conn) *conn {
	limit := &limitedReader{r: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// close closes the connection. An error is ignored, as the connection is not
// used again.
func (c *conn) close() { _ = c.Conn.Close() }

// markIdle records that the connection is idle, and the idle timeout that the reply states,
// if it states one.
func (c *conn) markIdle(statedTimeout time.Duration) {
	if statedTimeout > 0 {
		c.statedTimeout = statedTimeout
	}
	c.idleSince = time.Now()
}

// idleUntil returns when the idle connection expires and must not be used any more.
func (c *conn) idleUntil(limit *IdleLimit) time.Time {
	timeout := c.statedTimeout
	if timeout == 0 {
		timeout = limit.timeout()
	}
	return c.idleSince.Add(timeout - min(idleMargin, time.Duration(idleMarginFraction*float64(timeout))))
}

// isReusable reports whether an idle connection is open and has no unread data.
// Any byte on it would be read as the reply to the next request.
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
	noData := false
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// keepAliveTimeout returns the idle timeout that a leaf states in its reply, or 0.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
