package leafconn

import (
	"io"
	"net/http"
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/bodyread"
)

// maxReplyBytes limits the body of a reply.
const maxReplyBytes = 8 << 20

// body is the body of one reply while it is read.
type body struct {
	// limit is the greatest length of the body.
	limit  int64
	memory *Reservation
	// headBytes is the memory of the reply's head, which is kept with the body.
	headBytes int64
}

// maxBodyBytes returns the greatest length of a reply's body.
func (r *Request) maxBodyBytes() int64 {
	if r.MaxBodyBytes <= 0 {
		return maxReplyBytes
	}
	return min(r.MaxBodyBytes, maxReplyBytes)
}

// reply reads the body of the reply to a request.
func (b body) reply(r *Request, resp *http.Response) (*Reply, error) {
	reply := &Reply{Status: resp.StatusCode, idleTimeout: keepAliveTimeout(resp.Header)}
	var sink Sink
	if r.OnHead != nil {
		sink = r.OnHead(resp.StatusCode, resp.Header)
	}
	if sink != nil {
		resp.Header = nil
		return reply, b.copyTo(sink, resp)
	}
	var err error
	reply.Header = resp.Header
	reply.Body, err = b.read(resp)
	return reply, err
}

// read reads a body as a whole. The body is not closed, as that would read the rest of it.
func (b body) read(resp *http.Response) ([]byte, error) {
	return bodyread.ReadAll(resp.Body, resp.ContentLength, b.limit, func(size int64) error { return b.memory.Resize(b.headBytes + size) })
}

// copyBuffers holds buffers of copyTo.
var copyBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}

// copyTo passes a body to a sink. Only what the sink keeps takes memory.
func (b body) copyTo(sink Sink, resp *http.Response) error {
	if resp.ContentLength > b.limit {
		return bodyread.ErrTooLong
	}
	buf := copyBuffers.Get().(*[readBufferBytes]byte)
	defer copyBuffers.Put(buf)
	for total := int64(0); ; {
		n, err := resp.Body.Read(buf[:])
		if _, err := sink.Write(buf[:n]); err != nil {
			return err
		}
		if err := b.memory.Resize(sink.Kept()); err != nil {
			return err
		}
		total += int64(n)
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case total > b.limit:
			return bodyread.ErrTooLong
		}
	}
}
