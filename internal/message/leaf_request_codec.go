package message

import "github.com/vmihailenco/msgpack/v5"

// requestFields are the fields of a LeafRequest that are always written.
const requestFields = 7

// EncodeMsgpack writes the bytes that msgpack would write by reflection from
// the tags, at a fraction of the processor time.
func (r LeafRequest) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := fieldWriter{enc: enc}
	w.fields(requestFields + count(r.Repeat, r.Text != "", len(r.Payload) > 0))
	w.text("l", string(r.Leaf))
	w.key("o")
	w.keep(enc.EncodeUint8(uint8(r.Op)))
	w.text("q", r.RequestID)
	w.text("c", string(r.Class))
	w.key("p")
	w.keep(enc.EncodeInt(int64(r.Priority)))
	if r.Repeat {
		w.key("r")
		w.keep(enc.EncodeBool(true))
	}
	if r.Text != "" {
		w.text("t", r.Text)
	}
	if len(r.Payload) > 0 {
		w.bytes("y", r.Payload)
	}
	w.int64("s", int64(r.StartBy))
	w.int64("d", int64(r.Deadline))
	return w.err
}

// DecodeMsgpack reads what EncodeMsgpack writes, without reflection.
func (r *LeafRequest) DecodeMsgpack(dec *msgpack.Decoder) error { return readFields(dec, r.field) }

func (r *LeafRequest) field(dec *msgpack.Decoder, key string) (err error) {
	switch key {
	case "l":
		err = readText(dec, &r.Leaf)
	case "o":
		var op uint8
		op, err = dec.DecodeUint8()
		r.Op = Op(op)
	case "q":
		r.RequestID, err = dec.DecodeString()
	case "c":
		err = readText(dec, &r.Class)
	case "p":
		r.Priority, err = dec.DecodeInt()
	case "r":
		r.Repeat, err = dec.DecodeBool()
	case "t":
		r.Text, err = dec.DecodeString()
	case "y":
		r.Payload, err = dec.DecodeBytes()
	case "s":
		err = readInt64(dec, &r.StartBy)
	case "d":
		err = readInt64(dec, &r.Deadline)
	default:
		err = dec.Skip()
	}
	return err
}
