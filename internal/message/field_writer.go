package message

import "github.com/vmihailenco/msgpack/v5"

// fieldWriter writes the fields of a message and keeps the first error.
type fieldWriter struct {
	enc *msgpack.Encoder
	err error
}

func (w *fieldWriter) keep(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *fieldWriter) key(key string) { w.keep(w.enc.EncodeString(key)) }

func (w *fieldWriter) fields(n int) { w.keep(w.enc.EncodeMapLen(n)) }

func (w *fieldWriter) text(key, text string) {
	w.key(key)
	w.keep(w.enc.EncodeString(text))
}

func (w *fieldWriter) bytes(key string, b []byte) {
	w.key(key)
	w.keep(w.enc.EncodeBytes(b))
}

func (w *fieldWriter) int64(key string, n int64) {
	w.key(key)
	w.keep(w.enc.EncodeInt64(n))
}

func (w *fieldWriter) uint64(key string, n uint64) {
	w.key(key)
	w.keep(w.enc.EncodeUint64(n))
}

// count returns how many of the optional fields of a message are present.
func count(present ...bool) int {
	n := 0
	for _, p := range present {
		if p {
			n++
		}
	}
	return n
}
