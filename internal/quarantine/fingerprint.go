package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Fingerprint identifies a request by its class and payload.
func Fingerprint(class topology.ClassID, payload []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(class))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(payload)
	return d.Sum64()
}
