package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConn is one connection of a caller. It is safe for concurrent use.
type callerConn struct {
	net.Conn
	mu sync.Mutex
	// busy is true while a request of the connection is handled.
	busy bool
	// closing is true once the caller was told that no request will run any more.
	closing   bool
	idleSince time.Time
}

// beginRequest marks that a request is handled, or returns false when the caller was
// told that it will not be.
func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.busy || !c.closing
	return !c.closing
}

// markIdle marks that the last request was answered.
func (c *callerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, now
}

// isIdleSince reports whether the connection has been idle since a time or longer.
func (c *callerConn) isIdleSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && !c.idleSince.IsZero() && !c.idleSince.After(since)
}

// closeIdle closes the connection unless a request has begun meanwhile.
func (c *callerConn) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.idleSince.After(since) {
		return
	}
	c.closing = true
	// The caller may have closed it at the same moment.
	_ = c.Close()
}

// sendClose tells the caller of an idle connection that it will be closed. A request
// may be on its way, for long when a packet was lost: the answer is true for it,
// as no request of the connection is handled from here on.
func (c *callerConn) sendClose(header http.Header) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing || c.idleSince.IsZero() {
		return nil
	}
	c.closing = true
	answer := http.Response{
		StatusCode: http.StatusRequestTimeout, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
	}
	if err := c.SetWriteDeadline(time.Now().Add(socketDrainDelay)); err != nil {
		return err
	}
	return answer.Write(c)
}

// callerConnKey is the key of a request's connection in its context.
type callerConnKey struct{}

// callerConnOf returns the connection of a request.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
