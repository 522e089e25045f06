package message

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/msgfields"
)

// requiredRequestFields counts the fields of a LeafRequest that are always
// written.
const requiredRequestFields = 7

// EncodeMsgpack writes the same bytes that msgpack would write by reflection
// from the struct tags, in a fraction of the CPU time.
func (r LeafRequest) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := msgfields.Writer{Enc: enc}
	w.MapHeader(requiredRequestFields + msgfields.Count(r.Repeat, r.Text != "", len(r.Payload) > 0))
	w.String("l", string(r.Leaf))
	w.Uint8("o", uint8(r.Op))
	w.String("q", r.RequestID)
	w.String("c", string(r.Class))
	w.Key("p")
	w.RecordError(enc.EncodeInt(int64(r.Priority)))
	w.BoolOmitEmpty("r", r.Repeat)
	if r.Text != "" {
		w.String("t", r.Text)
	}
	if len(r.Payload) > 0 {
		w.Bytes("y", r.Payload)
	}
	w.Int64("s", int64(r.StartBy))
	w.Int64("d", int64(r.Deadline))
	return w.Err
}

// DecodeMsgpack decodes the output of EncodeMsgpack without reflection.
func (r *LeafRequest) DecodeMsgpack(dec *msgpack.Decoder) error {
	return msgfields.Read(dec, r.decodeField)
}

func (r *LeafRequest) decodeField(dec *msgpack.Decoder, key string) (err error) {
	switch key {
	case "l":
		err = msgfields.ReadString(dec, &r.Leaf)
	case "o":
		var op uint8
		op, err = dec.DecodeUint8()
		r.Op = Op(op)
	case "q":
		r.RequestID, err = dec.DecodeString()
	case "c":
		err = msgfields.ReadString(dec, &r.Class)
	case "p":
		r.Priority, err = dec.DecodeInt()
	case "r":
		r.Repeat, err = dec.DecodeBool()
	case "t":
		r.Text, err = dec.DecodeString()
	case "y":
		r.Payload, err = dec.DecodeBytes()
	case "s":
		err = msgfields.ReadInt64(dec, &r.StartBy)
	case "d":
		err = msgfields.ReadInt64(dec, &r.Deadline)
	default:
		err = dec.Skip()
	}
	return err
}
