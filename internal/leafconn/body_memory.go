package leafconn

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxReplyBytes limits the body of a reply.
	maxReplyBytes = 8 << 20
	// freeBodyBytes is the part of each body that needs no reservation. Usual replies
	// are smaller.
	freeBodyBytes = 64 << 10
	// maxReservedBytes limits the memory of all bodies that are being read, beyond
	// their first freeBodyBytes. A small VM has 184 MB, and the garbage collector
	// lets the heap grow to twice the memory in use.
	maxReservedBytes = 32 << 20
)

// errNoMemory is returned when the bodies that are being read take too much memory.
var errNoMemory = errors.New("the replies that are being read take too much memory")

// reservedBytes is the memory of the bodies that are being read in this process.
var reservedBytes atomic.Int64

// body is the body of one reply while it is read.
type body struct {
	buf []byte
	// maxSize is the largest size of the buffer.
	maxSize  int64
	reserved int64
}

// readFrom reads the body of a reply. Memory grows with the bytes that have arrived,
// not with the length that the leaf states. The body is not closed, as that would read
// the rest of it.
func (b *body) readFrom(resp *http.Response) ([]byte, error) {
	defer b.release()
	if resp.ContentLength > maxReplyBytes {
		return nil, errors.Errorf("the reply has %d bytes, more than %d", resp.ContentLength, maxReplyBytes)
	}
	// One byte more than the body, so that its end is found without growing the buffer.
	b.maxSize = maxReplyBytes + 1
	size := int64(readBufferBytes)
	if resp.ContentLength >= 0 {
		b.maxSize = resp.ContentLength + 1
		size = min(b.maxSize, freeBodyBytes)
	}
	b.buf = make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		switch {
		case err == io.EOF:
			return b.buf, nil
		case err != nil:
			return nil, err
		case len(b.buf) > maxReplyBytes:
			return nil, errors.Errorf("the reply has more than %d bytes", maxReplyBytes)
		case len(b.buf) == cap(b.buf):
			if err := b.grow(); err != nil {
				return nil, err
			}
		}
	}
}

// grow doubles the buffer and reserves the memory beyond freeBodyBytes.
func (b *body) grow() error {
	size := min(2*int64(cap(b.buf)), b.maxSize)
	if more := size - freeBodyBytes - b.reserved; more > 0 {
		b.reserved += more
		if reservedBytes.Add(more) > maxReservedBytes {
			return errNoMemory
		}
	}
	b.buf = append(make([]byte, 0, size), b.buf...)
	return nil
}

// release returns the reservation.
func (b *body) release() { reservedBytes.Add(-b.reserved) }
