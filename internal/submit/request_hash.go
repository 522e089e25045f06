package submit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// RequestHash returns the hash by which Submit tells another request under the
// same ticket from a repeat. It finds mistakes of callers, not attacks: xxhash
// does not resist a chosen collision.
func RequestHash(class topology.ClassID, shard topology.ShardID, payload []byte) uint64 {
	d := xxhash.New()
	writeField(d, []byte(class))
	writeField(d, []byte(shard))
	writeField(d, payload)
	return d.Sum64()
}

// writeField puts the length first, so that bytes which move from one field to
// the next change the hash.
func writeField(d *xxhash.Digest, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(field)
}
