package wire

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of values in a frame, because the decoder recurses
// once for each level. Valid messages have fewer than 10 levels.
const maxDepth = 64

var errMalformed = errors.New("malformed msgpack")

// checkStructure verifies that a payload is a single value and that no length in
// it exceeds the payload. Without this check, the decoder allocates up to 1 MiB
// for a wrong length before it reads.
func checkStructure(b []byte) error {
	rest, err := skipValue(b)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errors.Wrapf(errMalformed, "%d bytes after the envelope", len(rest))
	}
	return nil
}

// skipValue returns the bytes after the first value in b.
func skipValue(b []byte) ([]byte, error) {
	// remaining holds the number of values that still follow at each level.
	var remaining [maxDepth]uint64
	remaining[0] = 1
	for depth := 0; depth >= 0; {
		if remaining[depth] == 0 {
			depth--
			continue
		}
		remaining[depth]--
		size, values, err := valueExtent(b)
		if err != nil {
			return nil, err
		}
		if size > uint64(len(b)) || values > uint64(len(b))-size {
			return nil, errors.Wrap(errMalformed, "length exceeds the frame")
		}
		b = b[size:]
		if values == 0 {
			continue
		}
		depth++
		if depth == maxDepth {
			return nil, errors.Wrapf(errMalformed, "nested deeper than %d levels", maxDepth)
		}
		remaining[depth] = values
	}
	return b, nil
}

// valueExtent returns the size in bytes of the first value in b without the
// values nested in it, and the number of those values.
func valueExtent(b []byte) (size, values uint64, err error) {
	if len(b) == 0 {
		return 0, 0, errors.Wrap(errMalformed, "missing value")
	}
	c := b[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, nil
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0, nil
	}
	f, ok := valueFormats[c]
	if !ok {
		return 0, 0, errors.Wrapf(errMalformed, "unknown code %#x", c)
	}
	n, err := readLength(b[1:], f.lengthBytes)
	return 1 + uint64(f.lengthBytes) + f.fixed + n*f.perBytes, n * f.perValues, err
}

func readLength(b []byte, bytes int) (uint64, error) {
	if len(b) < bytes {
		return math.MaxUint32, errors.Wrap(errMalformed, "truncated length")
	}
	switch bytes {
	case 1:
		return uint64(b[0]), nil
	case 2:
		return uint64(binary.BigEndian.Uint16(b)), nil
	case 4:
		return uint64(binary.BigEndian.Uint32(b)), nil
	}
	return 0, nil
}
