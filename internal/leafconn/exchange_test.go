package leafconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// script is what a fake leaf does on one connection; n is the number of the
// connection.
type script func(n int, c net.Conn, r *bufio.Reader)

// fakeLeaf runs a script on each connection and counts the connections.
func fakeLeaf(t *testing.T, run script) (pool *Pool, opened *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opened = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(opened.Add(1))
			go func() {
				defer c.Close()
				run(n, c, bufio.NewReader(c))
			}()
		}
	}()
	pool = NewPool(ln.Addr().String(), 2, NewIdleLimit(), func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	})
	t.Cleanup(func() { _ = ln.Close(); pool.Close() })
	return pool, opened
}

// read reads one request and returns its ID and body.
func read(r *bufio.Reader) (id, body string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", ""
	}
	// A body is incomplete when the client has closed the connection.
	text, _ := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(text)
}

func reply(id, body string, header ...string) string {
	extra := strings.Join(header, "\r\n")
	if extra != "" {
		extra += "\r\n"
	}
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + extra + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// matchID matches replies whose header Id names a request.
func matchID(id string) func(http.Header) Match {
	return func(h http.Header) Match {
		switch h.Get("Id") {
		case id:
			return MatchOwn
		case "":
			return MatchUnnamed
		}
		return MatchOther
	}
}

func exchange(pool *Pool, id string, timeout time.Duration) (*Reply, error) {
	return exchangeWith(pool, id, timeout, nil)
}

// exchangeWith is exchange with a reservation of memory.
func exchangeWith(pool *Pool, id string, timeout time.Duration, memory *Reservation) (*Reply, error) {
	return pool.Exchange(context.Background(), &Request{
		Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Memory: memory,
	}, time.Now().Add(timeout), matchID(id))
}

// Guards against accepting a reply that belongs to another request or is
// incomplete, and against reusing a connection with bytes left on it. Each row
// is what a faulty leaf sends in reply to request "1".
func TestFaultyReplies(t *testing.T) {
	rows := []struct {
		name string
		// sends is written in reply to request "1"; if close is set, the
		// connection is closed after it.
		sends string
		close bool
		// body is the accepted body; no body means an error.
		body string
		// reused is true when request "2" may use the same connection.
		reused bool
	}{
		{"complete", reply("1", "abc"), false, "abc", true},
		{"late reply to another request first", reply("0", "old") + reply("1", "abc"), false, "abc", true},
		{"extra bytes after the reply", reply("1", "abc") + "junk", false, "abc", false},
		{"a second reply after the reply", reply("1", "abc") + reply("1", "xyz"), false, "abc", false},
		{"announces the close", reply("1", "abc", "Connection: close"), false, "abc", false},
		{"without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc", true, "abc", false},
		{"truncated body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc", true, "", false},
		{"no reply", "", true, "", false},
		{"not HTTP", "\x00\x01garbage\r\n\r\n", false, "", false},
		{"only replies to other requests", strings.Repeat(reply("0", "old"), 5), false, "", false},
		{"interim reply first", "HTTP/1.1 100 Continue\r\n\r\n" + reply("1", "abc"), false, "abc", true},
		{"chunked", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, "abc", true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			pool, opened := fakeLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
				for {
					id, _ := read(r)
					if id == "" {
						return
					}
					if id != "1" {
						_, _ = io.WriteString(c, reply(id, "next"))
						continue
					}
					_, _ = io.WriteString(c, row.sends)
					if row.close {
						return
					}
				}
			})
			got, err := exchange(pool, "1", time.Second)
			if row.body == "" {
				var failure *Error
				assert.Assert(t, errors.As(err, &failure), "got %v", got)
				assert.Assert(t, failure.Sent)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, string(got.Body), row.body)
			}
			time.Sleep(20 * time.Millisecond)
			next, err := exchange(pool, "2", time.Second)
			assert.NilError(t, err)
			assert.Equal(t, string(next.Body), "next")
			assert.Equal(t, opened.Load() == 1, row.reused, "%d connections", opened.Load())
		})
	}
}

// Guards against accepting a reply whose body has no length when the leaf reset
// the connection before the end of the body.
func TestResetIsNoEndOfABody(t *testing.T) {
	pool, _ := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
		time.Sleep(10 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := exchange(pool, "1", time.Second)
	assert.Assert(t, err != nil)
}

// Guards against a request that is lost because it is sent on a connection that
// the leaf closed while it was idle.
func TestConnectionClosedWhileIdle(t *testing.T) {
	pool, opened := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, _ := read(r)
		_, _ = io.WriteString(c, reply(id, "abc"))
	})
	for i := range 3 {
		_, err := exchange(pool, strconv.Itoa(i), time.Second)
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, opened.Load(), int64(3))
}

// Guards against a request that keeps running at a leaf after its caller has
// left or its deadline has passed.
func TestCancelAndDeadlineCloseTheConnection(t *testing.T) {
	closed := make(chan time.Time, 2)
	pool, _ := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte()
		closed <- time.Now()
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	start := time.Now()
	_, err := pool.Exchange(ctx, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}},
		start.Add(time.Minute), func(http.Header) Match { return MatchOwn })
	assert.Assert(t, err != nil)
	assert.Assert(t, (<-closed).Sub(start) < 400*time.Millisecond)
	start = time.Now()
	_, err = exchange(pool, "1", 40*time.Millisecond)
	assert.Assert(t, err != nil && time.Since(start) < 400*time.Millisecond)
	assert.Assert(t, (<-closed).Sub(start) < 400*time.Millisecond)
}

// Guards against more connections than this VM's share, and against a slot that
// is lost when a waiting request gives up, so that later requests wait forever.
func TestRequestsBeyondTheLimitWait(t *testing.T) {
	release := make(chan struct{})
	pool, opened := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _ := read(r)
			if id == "" {
				return
			}
			<-release
			_, _ = io.WriteString(c, reply(id, id))
		}
	})
	results := make(chan error, 5)
	for i := range 4 {
		go func() {
			_, err := exchange(pool, strconv.Itoa(i), 5*time.Second)
			results <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	_, err := exchange(pool, "impatient", 20*time.Millisecond)
	var failure *Error
	assert.Assert(t, errors.As(err, &failure) && failure.Step == StepWait && !failure.Sent)
	assert.Equal(t, opened.Load(), int64(2))
	close(release)
	for range 4 {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, opened.Load(), int64(2))
}

// Guards against sending the rest of a long body on a connection whose leaf has
// already replied and expects the next request.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	answered := make(chan struct{})
	pool, _ := fakeLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			id, _ := read(r)
			_, _ = io.WriteString(c, reply(id, "abc"))
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		_, _ = io.WriteString(c, reply("1", "early"))
		<-answered
		read(r)
	})
	// More than the socket buffers hold. A body that they hold is written completely, so
	// that the connection is reused.
	const size = 8 << 20
	answer, err := pool.Exchange(context.Background(), &Request{
		Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: make([]byte, size), HasBody: true,
	}, time.Now().Add(5*time.Second), matchID("1"))
	close(answered)
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "early")
	next, err := exchange(pool, "2", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(next.Body), "abc")
}

// Guards against a header, path or body that is changed on its way to the leaf.
func TestRequestIsEncodedUnchanged(t *testing.T) {
	r := &Request{Method: "POST", Target: "/a%2Fb/?q=1&q=%20", Host: "h.example", Header: http.Header{"X-A": {"1", "2"}}, Body: []byte("xyz"), HasBody: true}
	want := "POST /a%2Fb/?q=1&q=%20 HTTP/1.1\r\nHost: h.example\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: 3\r\n\r\nxyz"
	assert.Equal(t, string(bytes.Join(r.encode(), nil)), want)
	r.Body, r.HasBody = nil, false
	assert.Equal(t, string(bytes.Join(r.encode(), nil)), "POST /a%2Fb/?q=1&q=%20 HTTP/1.1\r\nHost: h.example\r\nX-A: 1\r\nX-A: 2\r\n\r\n")
	// Long lines and bodies are not copied.
	for _, lines := range []string{"", "X-L: 1\r\n", strings.Repeat("X-L: 1\r\n", 1000)} {
		for _, body := range []string{"", "xyz", strings.Repeat("xyz", 5000)} {
			r.Lines, r.Body, r.HasBody = []byte(lines), []byte(body), true
			want := fmt.Sprintf("POST /a%%2Fb/?q=1&q=%%20 HTTP/1.1\r\nHost: h.example\r\n%sX-A: 1\r\nX-A: 2\r\nContent-Length: %d\r\n\r\n%s", lines, len(body), body)
			assert.Equal(t, string(bytes.Join(r.encode(), nil)), want)
		}
	}
}

// Load pattern: requests to a leaf that closes idle connections soon and does not say
// so. Guards against idle connections that are counted on although they are closed.
func TestIdleTimeoutIsLearned(t *testing.T) {
	const timeout = 300 * time.Millisecond
	closed := make(chan struct{}, 1)
	pool, opened := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			_ = c.SetReadDeadline(time.Now().Add(timeout))
			id, _ := read(r)
			if id == "" {
				_ = c.Close()
				closed <- struct{}{}
				return
			}
			_, _ = io.WriteString(c, reply(id, "abc"))
		}
	})
	for i := range 6 {
		_, err := exchange(pool, strconv.Itoa(i), time.Second)
		assert.NilError(t, err)
		// A busy machine may close later than after the timeout.
		<-closed
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, opened.Load() >= 5)
	_, err := exchange(pool, "last", time.Second)
	assert.NilError(t, err)
	left := time.Until(pool.IdleUntil())
	assert.Assert(t, left > 0 && left < 2*timeout, "counts on the connection for %v", left)
}
