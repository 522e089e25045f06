package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/intake"
)

const (
	// maxHeaderBytes limits a request's headers, independent of the
	// configuration, which may not be known yet.
	maxHeaderBytes = 64 << 10
	// timeoutMargin is added to the configured timeouts of callers' connections, so
	// that a request that is sent within one does not race with the close.
	timeoutMargin = 2 * time.Second
	// refusalTimeout limits the write of a refusal to a new connection, whose send buffer is
	// empty.
	refusalTimeout = 50 * time.Millisecond
	// lingerTime is how long a connection stays open for the rest of a request that was refused
	// before its end. A close with unread bytes could take the answer from the caller.
	lingerTime = 250 * time.Millisecond
	// lingerBytes limits what is read of that rest.
	lingerBytes = 256 << 10
)

// callerConns holds the connections of callers and what they take. It closes those that are idle
// or send a head for longer than the configuration allows, and notifies the callers of idle ones
// at a stop. The configuration may change while a connection is open. It is safe for concurrent
// use. Its methods must not be called while the state of a connection is locked.
type callerConns struct {
	node *Node
	// listener accepts the connections. It does not change once the node serves.
	listener net.Listener
	mu       sync.Mutex
	table    *intake.Table
	conns    map[intake.ID]*callerConn
	lastID   intake.ID
}

func newCallerConns(n *Node, limits intake.Config) *callerConns {
	return &callerConns{node: n, table: intake.New(limits), conns: make(map[intake.ID]*callerConn)}
}

// accept adds a connection, or refuses it and returns nil.
func (c *callerConns) accept(raw *net.TCPConn) *callerConn {
	c.mu.Lock()
	c.lastID++
	conn := &callerConn{TCPConn: raw, id: c.lastID, callers: c}
	evicted, ok := c.table.Connect(c.node.now(), conn.id)
	if ok {
		c.conns[conn.id] = conn
	}
	c.mu.Unlock()
	c.evict(evicted)
	if ok {
		return conn
	}
	c.node.metrics.callersRefused.Inc(1)
	if err := writeClose(raw, http.StatusServiceUnavailable, c.refusalHeader(), refusalTimeout); err != nil {
		klog.InfoS("Failed to refuse a connection", "caller", raw.RemoteAddr(), "err", err)
	}
	// The caller may have closed it at the same time.
	_ = raw.Close()
	return nil
}

// refusalHeader returns the headers of a refusal that names no request. Another VM may have room.
func (c *callerConns) refusalHeader() http.Header {
	header := make(http.Header)
	c.node.codec.SetRefusalHeader(header, "", otherVMRetryAfter)
	return header
}

// take sets the memory that a caller takes and returns true, or returns false if there is none.
func (c *callerConns) take(id intake.ID, memory int64) bool {
	c.mu.Lock()
	evicted, ok := c.table.Take(c.node.now(), id, memory)
	c.mu.Unlock()
	c.evict(evicted)
	return ok
}

// addRun takes the memory of a query of another VM and returns its ID, or returns false if there
// is none. It is returned with remove.
func (c *callerConns) addRun(memory int64) (intake.ID, bool) {
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.table.AddRun(c.node.now(), id)
	c.mu.Unlock()
	if !c.take(id, memory) {
		c.remove(id)
		return 0, false
	}
	return id, true
}

// evict ends requests that have not arrived as a whole and idle connections.
func (c *callerConns) evict(ids []intake.ID) {
	for _, id := range ids {
		c.mu.Lock()
		conn := c.conns[id]
		c.mu.Unlock()
		if conn == nil {
			continue
		}
		c.node.metrics.callersEvicted.Inc(1)
		klog.InfoS("Closing a connection to make room for other callers", "caller", conn.RemoteAddr())
		// A caller that does not read must not delay the others.
		go conn.evict()
	}
}

// send records that a part of a request has arrived.
func (c *callerConns) send(id intake.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Send(c.node.now(), id)
}

// run records that the whole request has arrived.
func (c *callerConns) run(id intake.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Run(c.node.now(), id)
}

// refuseHead refuses a request before its head has arrived as a whole, and waits for the rest of it
// for lingerTime.
func (c *callerConns) refuseHead(conn *callerConn) {
	c.node.metrics.callersRefused.Inc(1)
	klog.ErrorS(nil, "Refused the head of a request", "caller", conn.RemoteAddr(), "why", "the requests of callers take too much memory")
	c.notify(conn, http.StatusServiceUnavailable)
	if err := conn.CloseWrite(); err != nil {
		return
	}
	if err := conn.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	// An error ends the wait, too.
	_, _ = io.CopyN(io.Discard, conn.TCPConn, lingerBytes)
}

// notify answers the caller of a connection without a running request that it will be closed.
func (c *callerConns) notify(conn *callerConn, status int) {
	if err := conn.sendClose(status, c.refusalHeader()); err != nil {
		klog.InfoS("Failed to notify a caller of the close", "caller", conn.RemoteAddr(), "err", err)
	}
}

// connContext stores a connection in the context of its requests.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// connState handles a change of the state of a connection.
func (c *callerConns) connState(raw net.Conn, state http.ConnState) {
	conn := raw.(*callerConn)
	switch state {
	case http.StateIdle:
		buffered := conn.markIdle(time.Now())
		c.rest(conn.id)
		if !c.take(conn.id, buffered) {
			c.refuseHead(conn)
			conn.closeUnlessBusy()
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(conn.id)
	case http.StateNew, http.StateActive:
	}
}

// rest records that the caller has its answer.
func (c *callerConns) rest(id intake.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Rest(c.node.now(), id)
}

// remove removes a caller and returns what it has taken.
func (c *callerConns) remove(id intake.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Remove(id)
	delete(c.conns, id)
}

// taken returns the shared memory that callers take, in bytes.
func (c *callerConns) taken() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Taken()
}

// open returns the number of connections.
func (c *callerConns) open() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.table.Connections())
}

// closeExpired closes the connections whose idle timeout has expired, and those on which a head
// has been arriving for longer than it may.
func (c *callerConns) closeExpired(now time.Time) {
	conf := c.node.activeConfiguration.Load()
	if conf == nil {
		return
	}
	idle, head := conf.Limits.IdleTimeout, conf.Limits.HeaderTimeout
	for _, conn := range c.all() {
		switch idleSince := now.Add(-idle - timeoutMargin); {
		case head > 0 && conn.isHeadSince(now.Add(-head-timeoutMargin)):
			// A caller that does not read must not delay the others.
			go conn.evict()
		case idle > 0 && conn.isIdleSince(idleSince):
			conn.closeIdle(idleSince)
		}
	}
}

// stopAccepting closes the listener.
func (c *callerConns) stopAccepting() {
	if err := c.listener.Close(); err != nil {
		klog.InfoS("Failed to close the listener of callers", "err", err)
	}
}

// closeAllIdle notifies the callers of all connections without a running request that
// these will be closed: idle ones, and those on which no request has arrived yet or only
// a part of one.
func (c *callerConns) closeAllIdle() {
	// A caller that does not read must not delay the others.
	var notified sync.WaitGroup
	for _, conn := range c.all() {
		notified.Go(func() { c.notify(conn, http.StatusRequestTimeout) })
	}
	notified.Wait()
}

// all returns all connections.
func (c *callerConns) all() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.conns))
}
