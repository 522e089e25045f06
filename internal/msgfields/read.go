package msgfields

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Keys of the fields of topology.Snapshot; they match its struct tags.
const (
	keyIndexVersion        = "i"
	keyPartitionGeneration = "p"
)

// Read decodes a map. It calls field for each key, and field decodes the value.
func Read(dec *msgpack.Decoder, field func(dec *msgpack.Decoder, key string) error) error {
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

// ReadString decodes a string into a variable of any string type.
func ReadString[T ~string](dec *msgpack.Decoder, into *T) error {
	s, err := dec.DecodeString()
	*into = T(s)
	return err
}

// ReadInt64 decodes an integer into a variable of any type based on int64.
func ReadInt64[T ~int64](dec *msgpack.Decoder, into *T) error {
	n, err := dec.DecodeInt64()
	*into = T(n)
	return err
}

// ReadSnapshot decodes a snapshot.
func ReadSnapshot(dec *msgpack.Decoder, into *topology.Snapshot) error {
	return Read(dec, func(dec *msgpack.Decoder, key string) (err error) {
		switch key {
		case keyIndexVersion:
			into.IndexVersion, err = dec.DecodeUint64()
		case keyPartitionGeneration:
			into.PartitionGeneration, err = dec.DecodeUint64()
		default:
			err = dec.Skip()
		}
		return err
	})
}
