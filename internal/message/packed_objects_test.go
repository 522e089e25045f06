package message

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
)

// Load pattern: hundreds of VMs start at once and list all leaves of a large index.
// Guards against listings that take a large part of the bytes between zones.
func TestListingIsPackedToASmallPart(t *testing.T) {
	var objects []objectfeed.Object
	size := 0
	for i := range 1350 {
		text := fmt.Sprintf(`{"meta":{"name":"i-%08x","revision":%d},"spec":{"service":"shard-%03d","addr":"10.%d.0.%d:8080","zone":"osorno","state":"ready"}}`, i*2654435761, 7000+i, i%180, i%5, i%250)
		objects = append(objects, objectfeed.Object{Name: fmt.Sprintf("i-%08x", i*2654435761), Text: []byte(text)})
		size += len(text)
	}
	packed, err := PackObjects(objects)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < size/3, "%d of %d bytes", len(packed), size)
	unpacked, err := packed.Unpack()
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, objects)
}

// Guards against a peer's message that takes all memory when it is unpacked, and
// against a cut message that looks complete.
func TestUnpackRejectsMalformedObjects(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	assert.NilError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxUnpackedBytes>>20 + 1 {
		_, err = w.Write(zeros)
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	packed, err := PackObjects([]objectfeed.Object{{Name: "a", Text: []byte("text")}})
	assert.NilError(t, err)
	for name, p := range map[string]PackedObjects{
		"too large": bomb.Bytes(), "cut": packed[:len(packed)/2], "not compressed": PackedObjects("objects"), "empty": {},
	} {
		_, err := p.Unpack()
		assert.Assert(t, err != nil, name)
	}
}
