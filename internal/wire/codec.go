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
	// MaxFrameBytes bounds the memory that one frame of a peer may take.
	MaxFrameBytes = 4 << 20

	lengthBytes = 4

	// envelopeBytes is above the encoded size of an envelope without its shard
	// and body, which is under 100 bytes.
	envelopeBytes = 256
)

// ErrFrameTooLarge is returned for a frame above MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds 4 MiB")

// bodyBuffers holds buffers in which bodies are encoded before their size is
// known.
var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// putBodyBuffer gives a buffer back, unless a rare large body has made it so
// large that it should not be kept.
func putBodyBuffer(buf *bytes.Buffer) {
	if buf.Cap() > bufferBytes {
		return
	}
	buf.Reset()
	bodyBuffers.Put(buf)
}

// EncodeBody encodes a message body.
func EncodeBody(body any) (msgpack.RawMessage, error) {
	buf := bodyBuffers.Get().(*bytes.Buffer)
	defer putBodyBuffer(buf)
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	if err := enc.Encode(body); err != nil {
		return nil, errors.Wrapf(err, "encode %T", body)
	}
	return bytes.Clone(buf.Bytes()), nil
}

// encodeBounded encodes a body and refuses one that does not fit into a frame.
// The writer could only end the connection for it, with all its calls.
func encodeBounded(body any, shard string) (msgpack.RawMessage, error) {
	raw, err := EncodeBody(body)
	if err != nil {
		return nil, err
	}
	if len(raw)+len(shard)+envelopeBytes > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	return raw, nil
}

// DecodeBody decodes the body of an envelope.
func DecodeBody(env *Envelope, into any) error {
	return errors.Wrapf(msgpack.Unmarshal(env.Body, into), "decode %T", into)
}

// encodeFrame returns the frame of an envelope.
func encodeFrame(env *Envelope) ([]byte, error) { return newFrameEncoder().encode(env) }

// readFrame reads one frame. Memory grows with the bytes that arrive, so a
// false length cannot make it allocate MaxFrameBytes at once.
func readFrame(r *bufio.Reader) (*Envelope, error) {
	var head [lengthBytes]byte
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

// readPayload joins the chunks of a payload after all have arrived, so that a
// truncated frame never takes more than its bytes and one chunk.
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
