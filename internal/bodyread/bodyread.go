// Package bodyread reads bodies whose memory is limited in sum.
package bodyread

import (
	"io"

	"github.com/pkg/errors"
)

// firstBytes is the size of the first buffer of a body whose length is not stated.
const firstBytes = 4096

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = errors.New("the body is longer than its limit")

// ReadAll reads a body to its end. stated is its length, or -1 if that is not known; limit is the
// greatest length, in bytes. Memory grows with the bytes that have arrived, not with the length
// that the sender states. Before it does, reserve is called with the size of the next buffer, and
// its error ends the read. ErrTooLong is returned for a body beyond the limit. An error of the
// reader is returned as it is.
func ReadAll(r io.Reader, stated, limit int64, reserve func(size int64) error) ([]byte, error) {
	if stated > limit {
		return nil, ErrTooLong
	}
	// One byte more than the body, so that its end is found without growing the buffer.
	maxSize := limit + 1
	if stated >= 0 {
		maxSize = stated + 1
	}
	buf, err := grow(nil, min(maxSize, firstBytes), reserve)
	for err == nil {
		var n int
		n, err = r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			err = ErrTooLong
		case err == io.EOF:
			return buf, nil
		case err != nil:
		case len(buf) == cap(buf):
			buf, err = grow(buf, min(2*int64(cap(buf)), maxSize), reserve)
		}
	}
	return nil, err
}

// grow returns the bytes in a buffer of the given size.
func grow(bytes []byte, size int64, reserve func(size int64) error) ([]byte, error) {
	if err := reserve(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), bytes...), nil
}
