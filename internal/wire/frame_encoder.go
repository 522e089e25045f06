package wire

import (
	"bytes"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
)

// frameEncoder encodes one frame after the other into the same buffer. It is
// not safe for concurrent use.
type frameEncoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

func newFrameEncoder() *frameEncoder {
	e := new(frameEncoder)
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

// encode returns the frame of an envelope, which is valid until the next call.
func (e *frameEncoder) encode(env *Envelope) ([]byte, error) {
	if e.buf.Cap() > bufferBytes {
		// A rare large frame must not hold its memory for good.
		e.buf = bytes.Buffer{}
	}
	var length [lengthBytes]byte
	e.buf.Reset()
	e.buf.Write(length[:])
	writeEnvelope(&e.buf, e.enc, env)
	frame := e.buf.Bytes()
	size := len(frame) - lengthBytes
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}
