package wire

import (
	"bytes"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
)

// frameEncoder encodes frames one at a time into a buffer that it reuses. It is
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

// encode encodes an envelope as a frame. The result is valid until the next
// call.
func (e *frameEncoder) encode(env *Envelope) ([]byte, error) {
	if e.buf.Cap() > bufferBytes {
		// Free the memory of a rare large frame.
		e.buf = bytes.Buffer{}
	}
	var length [frameLengthBytes]byte
	e.buf.Reset()
	e.buf.Write(length[:])
	writeEnvelope(&e.buf, e.enc, env)
	frame := e.buf.Bytes()
	size := len(frame) - frameLengthBytes
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}
