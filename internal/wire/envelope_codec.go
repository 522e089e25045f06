package wire

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Keys of an envelope; they are the tags of its fields.
const (
	keyID       = "i"
	keyKind     = "k"
	keyReply    = "r"
	keyShard    = "s"
	keySnapshot = "v"
	keyClock    = "c"
	keyBody     = "b"

	keyIndexVersion        = "i"
	keyPartitionGeneration = "p"
	keyWallNS              = "w"
	keyLogical             = "l"
)

// envelopeFields are the fields that are always written.
const envelopeFields = 4

// writeEnvelope writes the bytes that msgpack would write by reflection, at a
// fraction of the processor time. A bytes.Buffer never fails, so the errors of
// the encoder over it are always nil.
func writeEnvelope(buf *bytes.Buffer, enc *msgpack.Encoder, env *Envelope) {
	_ = enc.EncodeMapLen(envelopeFields + optionalFields(env))
	writeUint64(enc, keyID, env.ID)
	_ = enc.EncodeString(keyKind)
	_ = enc.EncodeUint8(uint8(env.Kind))
	if env.Reply {
		_ = enc.EncodeString(keyReply)
		_ = enc.EncodeBool(true)
	}
	if env.Shard != "" {
		_ = enc.EncodeString(keyShard)
		_ = enc.EncodeString(env.Shard)
	}
	_ = enc.EncodeString(keySnapshot)
	_ = enc.EncodeMapLen(2)
	writeUint64(enc, keyIndexVersion, env.Snapshot.IndexVersion)
	writeUint64(enc, keyPartitionGeneration, env.Snapshot.PartitionGeneration)
	_ = enc.EncodeString(keyClock)
	_ = enc.EncodeMapLen(2)
	_ = enc.EncodeString(keyWallNS)
	_ = enc.EncodeInt64(env.Clock.WallNS)
	_ = enc.EncodeString(keyLogical)
	_ = enc.EncodeUint32(env.Clock.Logical)
	if len(env.Body) > 0 {
		_ = enc.EncodeString(keyBody)
		buf.Write(env.Body)
	}
}

func optionalFields(env *Envelope) int {
	n := 0
	for _, present := range []bool{env.Reply, env.Shard != "", len(env.Body) > 0} {
		if present {
			n++
		}
	}
	return n
}

func writeUint64(enc *msgpack.Encoder, key string, n uint64) {
	_ = enc.EncodeString(key)
	_ = enc.EncodeUint64(n)
}

// envelopeReader decodes one envelope.
type envelopeReader struct {
	payload []byte
	r       bytes.Reader
	dec     *msgpack.Decoder
	env     *Envelope
}

// decodeEnvelope decodes a payload that checkStructure has accepted. The body
// is a part of the payload and not a copy.
func decodeEnvelope(payload []byte) (*Envelope, error) {
	e := &envelopeReader{payload: payload, dec: msgpack.GetDecoder(), env: new(Envelope)}
	defer msgpack.PutDecoder(e.dec)
	e.r.Reset(payload)
	e.dec.Reset(&e.r)
	if err := e.fields(e.field); err != nil {
		return nil, err
	}
	return e.env, nil
}

// fields calls f for each key of a map; f decodes its value.
func (e *envelopeReader) fields(f func(key string) error) error {
	n, err := e.dec.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		key, err := e.dec.DecodeString()
		if err != nil {
			return err
		}
		if err := f(key); err != nil {
			return errors.Wrapf(err, "field %q", key)
		}
	}
	return nil
}

func (e *envelopeReader) field(key string) (err error) {
	switch key {
	case keyID:
		e.env.ID, err = e.dec.DecodeUint64()
	case keyKind:
		var kind uint8
		kind, err = e.dec.DecodeUint8()
		e.env.Kind = Kind(kind)
	case keyReply:
		e.env.Reply, err = e.dec.DecodeBool()
	case keyShard:
		e.env.Shard, err = e.dec.DecodeString()
	case keySnapshot:
		err = e.fields(e.snapshot)
	case keyClock:
		err = e.fields(e.clock)
	case keyBody:
		err = e.body()
	default:
		err = e.dec.Skip()
	}
	return err
}

func (e *envelopeReader) snapshot(key string) (err error) {
	switch key {
	case keyIndexVersion:
		e.env.Snapshot.IndexVersion, err = e.dec.DecodeUint64()
	case keyPartitionGeneration:
		e.env.Snapshot.PartitionGeneration, err = e.dec.DecodeUint64()
	default:
		err = e.dec.Skip()
	}
	return err
}

func (e *envelopeReader) clock(key string) (err error) {
	switch key {
	case keyWallNS:
		e.env.Clock.WallNS, err = e.dec.DecodeInt64()
	case keyLogical:
		e.env.Clock.Logical, err = e.dec.DecodeUint32()
	default:
		err = e.dec.Skip()
	}
	return err
}

// body takes the next value as it is.
func (e *envelopeReader) body() error {
	b := e.payload[len(e.payload)-e.r.Len():]
	rest, err := skipValue(b)
	if err != nil {
		return err
	}
	size := len(b) - len(rest)
	e.env.Body = b[:size:size]
	_, err = e.r.Seek(int64(size), io.SeekCurrent)
	return err
}
