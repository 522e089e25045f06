package wire

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// bufferedReadTimeout is the part of idleTimeout that is reserved for a second
// read of bytes that have already arrived; see readBuffered.
const bufferedReadTimeout = 20 * time.Millisecond

// idleTimeoutReader reads from a connection and fails when no byte arrives
// within idleTimeout. The timeout restarts with each read, so that a large frame
// over a slow link does not exceed it.
type idleTimeoutReader struct {
	conn net.Conn
	// fixedDeadline, if not zero, limits all reads to a point in time.
	fixedDeadline time.Time
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(idleTimeout - bufferedReadTimeout)
	if !r.fixedDeadline.IsZero() && r.fixedDeadline.Before(deadline) {
		deadline = r.fixedDeadline
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.fixedDeadline.IsZero() {
		return n, err
	}
	return r.readBuffered(b, err)
}

// readBuffered reads the bytes that arrived while this process was paused. When
// the process resumes, the read deadline has passed although the peer has sent
// data.
func (r *idleTimeoutReader) readBuffered(b []byte, idleErr error) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(bufferedReadTimeout)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, idleErr
	}
	return n, err
}

// chunkWriter writes to a connection in chunks of bufferBytes and fails when a
// chunk cannot be written within writeTimeout. The timeout restarts with each
// chunk, because a busy connection may always have frames to write.
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
