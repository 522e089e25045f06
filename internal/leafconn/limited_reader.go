package leafconn

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
)

// errTooLong is returned instead of bytes beyond the limit of the part of a reply that
// is being read.
var errTooLong = errors.New("the reply is longer than its limit")

// headMemoryFactor is the memory that a head takes for each of its bytes while it is read:
// the line, which is copied when it grows, and the parsed header.
const headMemoryFactor = 3

// LineMemory is the memory that a header line takes besides its bytes once it is parsed: its strings
// and its place in the header, also in a copy of that.
const LineMemory = 256

var newLine = []byte{'\n'}

// limitedReader limits the bytes that a leaf can make this VM read. Unlike an
// io.LimitedReader, it returns an error at the limit, so that a cut reply never looks
// complete.
type limitedReader struct {
	r    io.Reader
	left int64
	// head takes the memory of a head; nil while a body is read. headBytes is what it has
	// taken.
	head      *Reservation
	headBytes int64
	// heardAt is when the last byte arrived.
	heardAt time.Time
}

// beginHead prepares for the head of a reply, which takes the memory of a reservation.
func (l *limitedReader) beginHead(memory *Reservation) {
	l.left, l.head, l.headBytes = maxHeadBytes, memory, 0
}

// beginBody prepares for a body and returns the memory that the head has taken.
func (l *limitedReader) beginBody() (headBytes int64) {
	l.left, l.head = maxFramedBodyBytes, nil
	return l.headBytes
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	if n == 0 {
		return n, err
	}
	l.heardAt = time.Now()
	if l.head != nil {
		l.headBytes += headMemoryFactor*int64(n) + LineMemory*int64(bytes.Count(b[:n], newLine))
		if err := l.head.Resize(l.headBytes); err != nil {
			return 0, err
		}
	}
	return n, err
}
