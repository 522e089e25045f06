package wire

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// arrivedTimeout is the last part of idleTimeout, long enough to read what has
// already arrived.
const arrivedTimeout = 20 * time.Millisecond

// silenceReader reads from a connection and fails when no byte arrives for
// idleTimeout. A frame that arrives slowly is not silence.
type silenceReader struct {
	conn net.Conn
	// until ends all reads at a time; zero for no end.
	until time.Time
}

// Read implements io.Reader.
func (r *silenceReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(idleTimeout - arrivedTimeout)
	if !r.until.IsZero() && r.until.Before(deadline) {
		deadline = r.until
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.until.IsZero() {
		return n, err
	}
	return r.readArrived(b, err)
}

// readArrived reads what arrived while this process was paused: the deadline
// has passed by the time it runs again, although the peer was not silent.
func (r *silenceReader) readArrived(b []byte, silent error) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(arrivedTimeout)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, silent
	}
	return n, err
}

// chunkWriter writes to a connection and fails when the peer does not take
// bufferBytes within writeTimeout. The time starts anew with each chunk, since
// a busy connection may have frames to write at all times.
type chunkWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w chunkWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := w.conn.Write(b[written:min(written+bufferBytes, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
