package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crowd is many callers that send the same kind of request at once. Each keeps its connection
// until the VM closes it or the crowd leaves.
type crowd struct {
	conns []net.Conn
	// sent is done when all callers have written what they write.
	sent sync.WaitGroup
}

// pieceDelay is the time between two pieces of a request.
const pieceDelay = time.Millisecond

// writeTimeout bounds the write of a caller whose connection is not read.
const writeTimeout = 20 * time.Second

// unreadBufferBytes is the size of the receive buffer of a caller that does not read.
const unreadBufferBytes = 4096

// startCrowd connects callers, each of which sends the request of a row.
func startCrowd(t *testing.T, address string, callers int, r row) *crowd {
	c := &crowd{}
	t.Cleanup(c.leave)
	for range callers {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		c.conns = append(c.conns, conn)
		text := r.request(r.path)
		text = text[:max(len(text)-r.withheld, 0)]
		if r.unread {
			assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(unreadBufferBytes))
		} else {
			// The answers are not of interest, but reading them lets the VM send them.
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
		c.sent.Go(func() { writePieces(conn, text, r.piece) })
	}
	return c
}

// writePieces writes a text until its end or an error, as when the VM has closed the connection.
func writePieces(conn net.Conn, text string, piece int) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if piece == 0 {
		piece = len(text)
	}
	for len(text) > 0 {
		n, err := io.WriteString(conn, text[:min(piece, len(text))])
		if err != nil {
			return
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(pieceDelay)
		}
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// send sends one request on a connection of its own and returns the status of its answer.
func send(address, text string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
