package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func withLengthPrefix(payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(payload))), payload...)
}

// Guards against input from a peer that makes readFrame panic or allocate far
// more memory than the size of the input. The bound on the cumulative
// allocations is 8 times the input, because a payload is read in chunks, joined,
// and its body copied as it grows.
func FuzzReadFrame(f *testing.F) {
	valid, err := encodeFrame(&Envelope{ID: 9, Kind: KindLeafRequest, Shard: "s", Body: msgpack.RawMessage{0x93, 1, 2, 3}})
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(valid[:len(valid)-3])
	f.Add([]byte{0, 0x40, 0, 0, 1})
	f.Add(withLengthPrefix([]byte{0x81, 0xa1, 's', 0xdb, 0x7f, 0xff, 0xff, 0xff}))
	f.Add(withLengthPrefix([]byte{0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff}))
	f.Add(withLengthPrefix([]byte{0x81, 0xdb, 0x7f, 0xff, 0xff, 0xff}))
	f.Add(withLengthPrefix(append([]byte{0x81, 0xa1, 'b'}, bytes.Repeat([]byte{0x91}, 1000)...)))
	r := bufio.NewReaderSize(nil, bufferBytes)
	f.Fuzz(func(t *testing.T, input []byte) {
		var before, after runtime.MemStats
		r.Reset(bytes.NewReader(input))
		runtime.ReadMemStats(&before)
		env, err := readFrame(r)
		runtime.ReadMemStats(&after)
		assert.Assert(t, (env == nil) == (err != nil))
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, allocated <= uint64(8*len(input))+64<<10, "%d bytes allocated for %d", allocated, len(input))
	})
}

// Guards against a deeply nested frame that exhausts the stack, because the
// decoder recurses once for each level.
func TestDeepNestingIsRefused(t *testing.T) {
	deep := append([]byte{0x81, 0xa1, 'b'}, bytes.Repeat([]byte{0x91}, 1<<16)...)
	_, err := readFrame(bufio.NewReader(bytes.NewReader(withLengthPrefix(append(deep, 1)))))
	assert.ErrorContains(t, err, "nested")
}
