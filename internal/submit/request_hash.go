package submit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// RequestHash returns the hash by which Submit distinguishes a repeat from another
// request with the same ticket. It detects mistakes of callers, not attacks: xxhash
// is not collision-resistant.
func RequestHash(class topology.ClassID, shard topology.ShardID, payload []byte) uint64 {
	d := xxhash.New()
	writeField(d, []byte(class))
	writeField(d, []byte(shard))
	writeField(d, payload)
	return d.Sum64()
}

// writeField writes the length before the field, so that bytes that move from one
// field to the next change the hash.
func writeField(d *xxhash.Digest, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(field)
}
