package wire

import (
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pausedConn fails the first read as if its deadline had passed during a pause
// of the process.
type pausedConn struct {
	net.Conn
	reads   int
	arrived string
}

func (*pausedConn) SetReadDeadline(time.Time) error { return nil }

func (c *pausedConn) Read(b []byte) (int, error) {
	c.reads++
	if c.reads == 1 || c.arrived == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(b, c.arrived), nil
}

// Guards against a reply that arrived while the process was paused and is lost
// with its connection, and against a silent connection that is kept.
func TestReplyThatArrivedDuringAPauseIsRead(t *testing.T) {
	b := make([]byte, 16)
	n, err := (&silenceReader{conn: &pausedConn{arrived: "reply"}}).Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b[:n]), "reply")
	_, err = (&silenceReader{conn: &pausedConn{}}).Read(b)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
