package wire

import (
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlinePassedConn fails the first read as if its deadline had passed while
// the process was paused. Later reads return the arrived bytes, if any.
type deadlinePassedConn struct {
	net.Conn
	reads   int
	arrived string
}

func (*deadlinePassedConn) SetReadDeadline(time.Time) error { return nil }

func (c *deadlinePassedConn) Read(b []byte) (int, error) {
	c.reads++
	if c.reads == 1 || c.arrived == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(b, c.arrived), nil
}

// Guards against closing a connection, and losing a reply on it, because the
// process was paused while the reply arrived. Also guards against keeping a
// connection on which nothing arrived.
func TestReplyThatArrivedDuringAPauseIsRead(t *testing.T) {
	b := make([]byte, 16)
	n, err := (&idleTimeoutReader{conn: &deadlinePassedConn{arrived: "reply"}}).Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b[:n]), "reply")
	_, err = (&idleTimeoutReader{conn: &deadlinePassedConn{}}).Read(b)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
