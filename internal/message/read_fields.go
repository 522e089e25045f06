package message

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// readFields calls field for each key of a map; field decodes its value.
func readFields(dec *msgpack.Decoder, field func(dec *msgpack.Decoder, key string) error) error {
	n, err := dec.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		key, err := dec.DecodeString()
		if err != nil {
			return err
		}
		if err := field(dec, key); err != nil {
			return errors.Wrapf(err, "field %q", key)
		}
	}
	return nil
}

// readText decodes a string into a field of a string type.
func readText[T ~string](dec *msgpack.Decoder, into *T) error {
	s, err := dec.DecodeString()
	*into = T(s)
	return err
}

// readInt64 decodes an integer into a field of an integer type.
func readInt64[T ~int64](dec *msgpack.Decoder, into *T) error {
	n, err := dec.DecodeInt64()
	*into = T(n)
	return err
}
