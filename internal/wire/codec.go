package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes bounds the memory that one frame of a peer may take.
	MaxFrameBytes = 4 << 20

	lengthBytes = 4
)

// ErrFrameTooLarge is returned for a frame above MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds 4 MiB")

// EncodeBody encodes a message body.
func EncodeBody(body any) (msgpack.RawMessage, error) {
	raw, err := msgpack.Marshal(body)
	return raw, errors.Wrapf(err, "encode %T", body)
}

// DecodeBody decodes the body of an envelope.
func DecodeBody(env *Envelope, into any) error {
	return errors.Wrapf(msgpack.Unmarshal(env.Body, into), "decode %T", into)
}

// encodeFrame returns the frame of an envelope.
func encodeFrame(env *Envelope) ([]byte, error) {
	payload, err := msgpack.Marshal(env)
	if err != nil {
		return nil, errors.Wrap(err, "encode envelope")
	}
	if len(payload) > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	return append(frame, payload...), nil
}

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
	env := new(Envelope)
	if err := msgpack.Unmarshal(payload, env); err != nil {
		return nil, errors.Wrap(err, "decode envelope")
	}
	return env, nil
}

func readPayload(r io.Reader, size int) ([]byte, error) {
	const chunkBytes = 64 << 10
	payload := make([]byte, 0, min(size, chunkBytes))
	for len(payload) < size {
		n := min(size-len(payload), chunkBytes)
		start := len(payload)
		payload = append(payload, make([]byte, n)...)
		if _, err := io.ReadFull(r, payload[start:]); err != nil {
			return nil, err
		}
	}
	return payload, nil
}
