package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Fingerprint identifies a request by its class and the parts of its payload. Only the last
// part may contain zero bytes, since they separate the parts.
func Fingerprint(class topology.ClassID, parts ...[]byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(class))
	for _, part := range parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(part)
	}
	return d.Sum64()
}
