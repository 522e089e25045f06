package message

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// maxUnpackedBytes limits the size of objects that are unpacked, whatever a peer
// sends. A listing of 110,000 leaves has about 30 MB.
const maxUnpackedBytes = 64 << 20

// PackedObjects holds compressed objects. Objects of one kind differ in a few bytes, so
// that a listing shrinks to a small part, and VMs list over links between zones.
type PackedObjects []byte

// PackObjects compresses objects.
func PackObjects(objects []objectfeed.Object) (PackedObjects, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack objects")
	}
	if err := msgpack.NewEncoder(w).Encode(objects); err != nil {
		return nil, errors.Wrap(err, "pack objects")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack objects")
	}
	return out.Bytes(), nil
}

// Unpack returns the objects.
func (p PackedObjects) Unpack() ([]objectfeed.Object, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack objects")
	}
	if len(encoded) > maxUnpackedBytes {
		return nil, errors.Errorf("unpack objects: more than %d bytes", maxUnpackedBytes)
	}
	var out []objectfeed.Object
	err = msgpack.Unmarshal(encoded, &out)
	return out, errors.Wrap(err, "unpack objects")
}
