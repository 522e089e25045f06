package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one request of a caller with its outcome.
type request struct {
	id      string
	node    string
	boot    int
	method  string
	target  string
	payload string
	// version is the newest configuration version when the request was created.
	version int
	// sent is the time at which the last byte was written, and completed the time at
	// which the outcome was known.
	sent, completed time.Time
	// disconnected is the time at which the caller disconnected early, or zero.
	disconnected time.Time
	status       int
	header       http.Header
	response     string
	err          error
}

// client is a caller that sends requests to one node on one connection at a time
// and reuses the connection until the node closes it. It doesn't use net/http,
// which may repeat a request; each request is sent once.
type client struct {
	node   *node
	rand   *rand.Rand
	name   string
	sent   int
	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until the context is done.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		r := c.nextRequest()
		if c.conn == nil && !c.dial() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.node.system.history.recordSent(r)
		c.exchange(r)
		c.node.system.history.recordCompleted(r)
		if r.err != nil || r.status == 0 || strings.EqualFold(r.header.Get("Connection"), "close") {
			c.disconnect()
		}
		time.Sleep(time.Duration(c.rand.IntN(15)) * time.Millisecond)
	}
}

// nextRequest returns a request with random contents.
func (c *client) nextRequest() *request {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	r := &request{id: id, node: c.node.name, method: http.MethodGet, version: c.node.system.newestVersion()}
	switch n := c.rand.IntN(10); {
	case n < 6:
		r.target = "/query/x?q=" + id
	case n < 7:
		r.target = "/one/" + id
	case n < 9 || r.version == 0:
		r.method, r.target, r.payload = http.MethodPost, "/order/"+id, "order "+id
	default:
		r.target = fmt.Sprintf("/new-%d/%s", r.version, id)
	}
	return r
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.node.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// callerTimeout is the time that a caller waits for an answer.
const callerTimeout = 1500 * time.Millisecond

// exchange sends a request and reads the answer. A random 1 in 20 callers
// disconnects early.
func (c *client) exchange(r *request) {
	r.boot = c.node.currentBoot()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\n", r.method, r.target, host, r.id)
	if r.payload != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.payload))
	}
	disconnects := c.rand.IntN(20) == 0
	timeout := callerTimeout
	if disconnects {
		timeout = 10 * time.Millisecond
	}
	_, r.err = c.conn.Write([]byte(text + "\r\n" + r.payload))
	r.sent = time.Now()
	if r.err == nil {
		_ = c.conn.SetReadDeadline(r.sent.Add(timeout))
		c.readResponse(r)
	}
	r.completed = time.Now()
	if r.err != nil && disconnects {
		c.disconnect()
		r.disconnected = time.Now()
	}
}

func (c *client) readResponse(r *request) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.header, r.response = resp.StatusCode, resp.Header, string(body)
	if resp.Close {
		r.header.Set("Connection", "close")
	}
	if c.reader.Buffered() > 0 {
		r.err = fmt.Errorf("%d bytes after the answer", c.reader.Buffered())
	}
}
