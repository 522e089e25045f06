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

// request is one attempt of a caller and what came of it.
type request struct {
	id     string
	node   string
	boot   int
	method string
	target string
	body   string
	// version is the newest configuration when it was sent.
	version int
	// sent is when the last byte was written, ended when the outcome was known.
	sent, ended time.Time
	// left is when the caller left; zero when it stayed.
	left   time.Time
	status int
	header http.Header
	reply  string
	err    error
}

// client sends requests to one node on one connection at a time, and keeps using
// it until the node closes it. It sends each request once: net/http would repeat
// one on its own.
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
	defer c.hangUp()
	for ctx.Err() == nil {
		r := c.next()
		if c.conn == nil && !c.dial() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.node.world.history.sending(r)
		c.exchange(r)
		c.node.world.history.ended(r)
		if r.err != nil || r.status == 0 || strings.EqualFold(r.header.Get("Connection"), "close") {
			c.hangUp()
		}
		time.Sleep(time.Duration(c.rand.IntN(15)) * time.Millisecond)
	}
}

// next draws a request.
func (c *client) next() *request {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	r := &request{id: id, node: c.node.name, method: http.MethodGet, version: c.node.world.newest()}
	switch n := c.rand.IntN(10); {
	case n < 6:
		r.target = "/query/x?q=" + id
	case n < 7:
		r.target = "/one/" + id
	case n < 9 || r.version == 0:
		r.method, r.target, r.body = http.MethodPost, "/order/"+id, "order "+id
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

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// callerWait is how long a caller waits.
const callerWait = 1500 * time.Millisecond

// exchange sends a request and reads the answer. Some callers leave early.
func (c *client) exchange(r *request) {
	r.boot = c.node.currentBoot()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\n", r.method, r.target, host, r.id)
	if r.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	leaves := c.rand.IntN(20) == 0
	wait := callerWait
	if leaves {
		wait = 10 * time.Millisecond
	}
	_, r.err = c.conn.Write([]byte(text + "\r\n" + r.body))
	r.sent = time.Now()
	if r.err == nil {
		_ = c.conn.SetReadDeadline(r.sent.Add(wait))
		c.read(r)
	}
	r.ended = time.Now()
	if r.err != nil && leaves {
		c.hangUp()
		r.left = time.Now()
	}
}

func (c *client) read(r *request) {
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
	r.status, r.header, r.reply = resp.StatusCode, resp.Header, string(body)
	if resp.Close {
		r.header.Set("Connection", "close")
	}
	if c.reader.Buffered() > 0 {
		r.err = fmt.Errorf("%d bytes after the answer", c.reader.Buffered())
	}
}
