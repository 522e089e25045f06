package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes bounds the memory that one received frame may take.
	MaxFrameBytes = 4 << 20

	frameLengthBytes = 4

	// maxEnvelopeOverheadBytes is an upper bound for the encoded size of an
	// envelope without its shard and body, which is below 100 bytes.
	maxEnvelopeOverheadBytes = 256
)

// ErrFrameTooLarge is returned for a frame larger than MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds 4 MiB")

// bodyBuffers pools the buffers into which bodies are encoded before their size
// is known.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// releaseBodyBuffer returns a buffer to the pool. A buffer that a rare large
// body has grown beyond bufferBytes is discarded, to free its memory.
func releaseBodyBuffer(buf *bytes.Buffer) {
	if buf.Cap() > bufferBytes {
		return
	}
	buf.Reset()
	bodyBuffers.Put(buf)
}

// EncodeBody encodes a message body.
func EncodeBody(body any) (msgpack.RawMessage, error) {
	buf := bodyBuffers.Get().(*bytes.Buffer)
	defer releaseBodyBuffer(buf)
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	if err := enc.Encode(body); err != nil {
		return nil, errors.Wrapf(err, "encode %T", body)
	}
	return bytes.Clone(buf.Bytes()), nil
}

// encodeBodyForFrame encodes a body and returns ErrFrameTooLarge for one that
// does not fit into a frame. If writeLoop found this out, it would have to close
// the connection, which fails all calls on it.
func encodeBodyForFrame(body any, shard string) (msgpack.RawMessage, error) {
	raw, err := EncodeBody(body)
	if err != nil {
		return nil, err
	}
	if len(raw)+len(shard)+maxEnvelopeOverheadBytes > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	return raw, nil
}

// DecodeBody decodes the body of an envelope.
func DecodeBody(env *Envelope, into any) error {
	return errors.Wrapf(msgpack.Unmarshal(env.Body, into), "decode %T", into)
}

// encodeFrame encodes an envelope as a frame in a new buffer.
func encodeFrame(env *Envelope) ([]byte, error) { return newFrameEncoder().encode(env) }

// readFrame reads one frame. Memory grows only with the bytes that arrive, so a
// wrong length cannot make it allocate MaxFrameBytes at once.
func readFrame(r *bufio.Reader) (*Envelope, error) {
	var head [frameLengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, errors.Wrap(err, "read frame length")
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	if err := checkStructure(payload); err != nil {
		return nil, errors.Wrap(err, "check envelope")
	}
	env, err := decodeEnvelope(payload)
	return env, errors.Wrap(err, "decode envelope")
}

// readPayload reads a payload in chunks and joins them when all have arrived, so
// that a truncated frame never takes more memory than its bytes and one chunk.
func readPayload(r io.Reader, size int) ([]byte, error) {
	const chunkBytes = 32 << 10
	var chunks [][]byte
	for left := size; left > 0; {
		chunk := make([]byte, min(left, chunkBytes))
		if _, err := io.ReadFull(r, chunk); err != nil {
			return nil, err
		}
		left -= len(chunk)
		chunks = append(chunks, chunk)
	}
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	return bytes.Join(chunks, nil), nil
}
