package wire

import (
	"bytes"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/msgfields"
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

	keyWallNS  = "w"
	keyLogical = "l"
)

// envelopeFields are the fields that are always written.
const envelopeFields = 4

// writeEnvelope writes the bytes that msgpack would write by reflection, at a
// fraction of the processor time. A bytes.Buffer never fails, so there is no
// error.
func writeEnvelope(buf *bytes.Buffer, enc *msgpack.Encoder, env *Envelope) {
	w := msgfields.Writer{Enc: enc}
	w.MapHeader(envelopeFields + msgfields.Count(env.Reply, env.Shard != "", len(env.Body) > 0))
	w.Uint64(keyID, env.ID)
	w.Uint8(keyKind, uint8(env.Kind))
	w.BoolOmitEmpty(keyReply, env.Reply)
	if env.Shard != "" {
		w.String(keyShard, env.Shard)
	}
	w.Snapshot(keySnapshot, env.Snapshot)
	w.Key(keyClock)
	w.MapHeader(2)
	w.Int64(keyWallNS, env.Clock.WallNS)
	w.Key(keyLogical)
	w.RecordError(enc.EncodeUint32(env.Clock.Logical))
	if len(env.Body) > 0 {
		w.Key(keyBody)
		buf.Write(env.Body)
	}
}

// envelopeReader decodes one envelope.
type envelopeReader struct {
	payload []byte
	r       bytes.Reader
	env     *Envelope
}

// decodeEnvelope decodes a payload that checkStructure has accepted. The body
// is a part of the payload and not a copy.
func decodeEnvelope(payload []byte) (*Envelope, error) {
	e := &envelopeReader{payload: payload, env: new(Envelope)}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	e.r.Reset(payload)
	dec.Reset(&e.r)
	if err := msgfields.Read(dec, e.field); err != nil {
		return nil, err
	}
	return e.env, nil
}

func (e *envelopeReader) field(dec *msgpack.Decoder, key string) (err error) {
	switch key {
	case keyID:
		e.env.ID, err = dec.DecodeUint64()
	case keyKind:
		var kind uint8
		kind, err = dec.DecodeUint8()
		e.env.Kind = Kind(kind)
	case keyReply:
		e.env.Reply, err = dec.DecodeBool()
	case keyShard:
		e.env.Shard, err = dec.DecodeString()
	case keySnapshot:
		err = msgfields.ReadSnapshot(dec, &e.env.Snapshot)
	case keyClock:
		err = msgfields.Read(dec, e.clock)
	case keyBody:
		err = e.body()
	default:
		err = dec.Skip()
	}
	return err
}

func (e *envelopeReader) clock(dec *msgpack.Decoder, key string) (err error) {
	switch key {
	case keyWallNS:
		e.env.Clock.WallNS, err = dec.DecodeInt64()
	case keyLogical:
		e.env.Clock.Logical, err = dec.DecodeUint32()
	default:
		err = dec.Skip()
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
