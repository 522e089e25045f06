package snapshot

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Newer reports whether a is newer than b: by index version, then by
// generation of the partition map.
func Newer(a, b topology.Snapshot) bool {
	if a.IndexVersion != b.IndexVersion {
		return a.IndexVersion > b.IndexVersion
	}
	return a.PartitionGeneration > b.PartitionGeneration
}
