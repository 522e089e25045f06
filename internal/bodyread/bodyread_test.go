package bodyread

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against bodies that are cut, longer than their limit, or take memory before their bytes
// have arrived.
func TestReadAll(t *testing.T) {
	const limit = 100_000
	for _, length := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 50_000, limit, limit + 1} {
		text := strings.Repeat("b", length)
		for _, stated := range []int64{-1, int64(length)} {
			for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				arrived := &countingReader{r: r}
				got, err := ReadAll(arrived, stated, limit, func(size int64) error {
					assert.Assert(t, size <= max(2*arrived.n, firstBytes)+1, "%d bytes reserved after %d have arrived", size, arrived.n)
					return nil
				})
				if length > limit {
					assert.Equal(t, err, ErrTooLong)
					continue
				}
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(got, []byte(text)))
			}
		}
	}
}

// Guards against an error of the reader or of the reservation that is lost, or a body that looks
// complete after one.
func TestReadAllFails(t *testing.T) {
	failure := errors.New("failure")
	body := io.MultiReader(strings.NewReader("b"), iotest.ErrReader(failure))
	got, err := ReadAll(body, -1, 10, func(int64) error { return nil })
	assert.Assert(t, got == nil && err == failure)
	got, err = ReadAll(strings.NewReader("b"), 1, 10, func(int64) error { return failure })
	assert.Assert(t, got == nil && err == failure)
}

// countingReader counts the bytes that have been read.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += int64(n)
	return n, err
}
