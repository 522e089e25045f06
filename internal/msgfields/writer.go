package msgfields

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Writer writes the fields of a message and keeps the first error. It is not
// safe for concurrent use.
type Writer struct {
	Enc *msgpack.Encoder
	Err error
}

// Keep takes the error of a value that the caller has written.
func (w *Writer) Keep(err error) {
	if w.Err == nil {
		w.Err = err
	}
}

// Map begins a map of n fields.
func (w *Writer) Map(n int) { w.Keep(w.Enc.EncodeMapLen(n)) }

// Key writes the key of the next value.
func (w *Writer) Key(key string) { w.Keep(w.Enc.EncodeString(key)) }

// Text writes a field.
func (w *Writer) Text(key, text string) {
	w.Key(key)
	w.Keep(w.Enc.EncodeString(text))
}

// Bytes writes a field.
func (w *Writer) Bytes(key string, b []byte) {
	w.Key(key)
	w.Keep(w.Enc.EncodeBytes(b))
}

// Uint8 writes a field.
func (w *Writer) Uint8(key string, n uint8) {
	w.Key(key)
	w.Keep(w.Enc.EncodeUint8(n))
}

// Int64 writes a field.
func (w *Writer) Int64(key string, n int64) {
	w.Key(key)
	w.Keep(w.Enc.EncodeInt64(n))
}

// Uint64 writes a field.
func (w *Writer) Uint64(key string, n uint64) {
	w.Key(key)
	w.Keep(w.Enc.EncodeUint64(n))
}

// True writes a field that is present only when it is true.
func (w *Writer) True(key string, present bool) {
	if present {
		w.Key(key)
		w.Keep(w.Enc.EncodeBool(true))
	}
}

// Snapshot writes a field.
func (w *Writer) Snapshot(key string, s topology.Snapshot) {
	w.Key(key)
	w.Map(2)
	w.Uint64(keyIndexVersion, s.IndexVersion)
	w.Uint64(keyPartitionGeneration, s.PartitionGeneration)
}

// Count returns how many of the optional fields of a message are present.
func Count(present ...bool) int {
	n := 0
	for _, p := range present {
		if p {
			n++
		}
	}
	return n
}
