package msgfields

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Writer encodes the fields of a message and records the first error in Err. It
// is not safe for concurrent use.
type Writer struct {
	Enc *msgpack.Encoder
	Err error
}

// RecordError stores err unless an earlier error is stored. Callers that write
// a value through Enc directly pass its error here.
func (w *Writer) RecordError(err error) {
	if w.Err == nil {
		w.Err = err
	}
}

// MapHeader writes the header of a map of n fields.
func (w *Writer) MapHeader(n int) { w.RecordError(w.Enc.EncodeMapLen(n)) }

// Key writes the key of the next value.
func (w *Writer) Key(key string) { w.RecordError(w.Enc.EncodeString(key)) }

// String writes a key and a string.
func (w *Writer) String(key, text string) {
	w.Key(key)
	w.RecordError(w.Enc.EncodeString(text))
}

// Bytes writes a key and a byte slice.
func (w *Writer) Bytes(key string, b []byte) {
	w.Key(key)
	w.RecordError(w.Enc.EncodeBytes(b))
}

// Uint8 writes a key and an 8-bit unsigned integer.
func (w *Writer) Uint8(key string, n uint8) {
	w.Key(key)
	w.RecordError(w.Enc.EncodeUint8(n))
}

// Int64 writes a key and a 64-bit signed integer.
func (w *Writer) Int64(key string, n int64) {
	w.Key(key)
	w.RecordError(w.Enc.EncodeInt64(n))
}

// Uint64 writes a key and a 64-bit unsigned integer.
func (w *Writer) Uint64(key string, n uint64) {
	w.Key(key)
	w.RecordError(w.Enc.EncodeUint64(n))
}

// BoolOmitEmpty writes a key and true, or nothing if the value is false, like a
// field with the tag option omitempty.
func (w *Writer) BoolOmitEmpty(key string, present bool) {
	if present {
		w.Key(key)
		w.RecordError(w.Enc.EncodeBool(true))
	}
}

// Snapshot writes a key and a snapshot.
func (w *Writer) Snapshot(key string, s topology.Snapshot) {
	w.Key(key)
	w.MapHeader(2)
	w.Uint64(keyIndexVersion, s.IndexVersion)
	w.Uint64(keyPartitionGeneration, s.PartitionGeneration)
}

// Count returns how many of the given optional fields are present.
func Count(present ...bool) int {
	n := 0
	for _, p := range present {
		if p {
			n++
		}
	}
	return n
}
