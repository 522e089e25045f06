package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/intake"
)

// callerBufferBytes is the size of the buffer through which net/http reads a connection. Longer
// reads bypass it.
const callerBufferBytes = 4096

// callerConn is one connection of a caller. It is safe for concurrent use.
type callerConn struct {
	*net.TCPConn
	id      intake.ID
	callers *callerConns
	mu      sync.Mutex
	// busy is true while a request of the connection is handled.
	busy bool
	// closing is true once the connection is closed or the caller was notified
	// that it will be. No further request is handled on it.
	closing   bool
	idleSince time.Time
	// headSince is when the first part of a head arrived; zero while none arrives.
	headSince time.Time
	// readingBody is true while the handler reads a body, evicted once that was ended to make
	// room for other callers.
	readingBody, evicted bool
	// headMemory is the memory of the head that arrives or of the request that is handled, and
	// buffered that of the last bytes if they may belong to the head of the next request.
	headMemory, buffered int64
}

// Read implements net.Conn. It fails when there is no memory for the head that arrives, whose
// caller was answered then.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 || c.receive(b[:n], len(b) <= callerBufferBytes) {
		return n, err
	}
	c.callers.refuseHead(c)
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// receive takes the memory of a part of a head and returns true, or returns false if there is
// none. The handler takes the memory of a body.
func (c *callerConn) receive(part []byte, buffered bool) bool {
	cost := partMemory(part)
	c.mu.Lock()
	if c.busy {
		c.buffered = 0
		if buffered {
			c.buffered = cost
		}
		c.mu.Unlock()
		return true
	}
	if c.headSince.IsZero() {
		c.headSince = time.Now()
	}
	c.headMemory += cost
	total := c.headMemory
	c.mu.Unlock()
	c.callers.send(c.id)
	return c.callers.take(c.id, total)
}

// beginRequest marks the connection as busy, or returns false when it is
// closing and the request must not be handled.
func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.busy || !c.closing
	c.headSince = time.Time{}
	return !c.closing
}

// markRunning records that the whole request has arrived.
func (c *callerConn) markRunning() { c.callers.run(c.id) }

// takeHead takes the memory of the parsed head of the request that is handled instead of that of
// the bytes that have arrived, and returns false if there is none.
func (c *callerConn) takeHead(r *http.Request) bool {
	memory := headMemory(r)
	c.mu.Lock()
	c.headMemory = memory
	c.mu.Unlock()
	return c.callers.take(c.id, memory)
}

// takeBody takes the memory of a body besides that of the head, and returns false if there is
// none.
func (c *callerConn) takeBody(memory int64) bool {
	c.mu.Lock()
	total := c.headMemory + memory
	c.mu.Unlock()
	return c.callers.take(c.id, total)
}

// beginBody is called before the handler reads a body.
func (c *callerConn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody, c.evicted = true, false
}

// endBody is called when the handler has read a body, and reports whether that was ended to make
// room for other callers. The deadline for reads is not changed any more after it.
func (c *callerConn) endBody() (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	return c.evicted
}

// evict ends a request that has not arrived as a whole, or an idle connection. It does nothing
// while a request runs.
func (c *callerConn) evict() {
	c.mu.Lock()
	if c.readingBody {
		c.evicted = true
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	busy := c.busy
	c.mu.Unlock()
	if busy {
		return
	}
	c.callers.notify(c, http.StatusRequestTimeout)
	// A request may have begun at the same time.
	c.closeUnlessBusy()
}

// closeUnlessBusy closes the connection unless a request is handled.
func (c *callerConn) closeUnlessBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.closing = true
	// The caller may have closed it at the same time.
	_ = c.Close()
}

// markIdle records that the last request was answered, and returns the memory of what may have
// arrived of the next one.
func (c *callerConn) markIdle(now time.Time) (buffered int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, now
	c.headMemory, c.buffered = c.buffered, 0
	return c.headMemory
}

// isIdleSince reports whether the connection has been idle since a time or
// longer.
func (c *callerConn) isIdleSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && !c.idleSince.IsZero() && !c.idleSince.After(since)
}

// isHeadSince reports whether a head has been arriving since a time or longer.
func (c *callerConn) isHeadSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && !c.headSince.IsZero() && !c.headSince.After(since)
}

// closeIdle closes the connection unless a request has begun in the meantime.
func (c *callerConn) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.idleSince.After(since) {
		return
	}
	c.closing = true
	// The caller may have closed it at the same time.
	_ = c.Close()
}

// sendClose responds to the caller of a connection without a running request that the
// connection will be closed. A request may be in transit, even for long if a packet was
// lost: the response is correct for it as well, because no further request is
// handled on the connection.
func (c *callerConn) sendClose(status int, header http.Header) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing {
		return nil
	}
	c.closing = true
	return writeClose(c, status, header, closeNoticeTimeout)
}

// writeClose writes a response that announces the close of a connection.
func writeClose(conn net.Conn, status int, header http.Header, timeout time.Duration) error {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true}
	var text bytes.Buffer
	if err := response.Write(&text); err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// closeNoticeTimeout limits the write of the response to a caller that does not read. It is
// long enough for a busy VM, whose callers would else get no answer.
const closeNoticeTimeout = time.Second

// callerConnKey is the key of a request's connection in its context.
type callerConnKey struct{}

// callerConnOf returns the connection of a request.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
