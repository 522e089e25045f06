package snapshot

// LeafVersions holds the index versions and the partition map generation that a
// leaf last reported to serve.
type LeafVersions struct {
	IndexVersions       []uint64
	PartitionGeneration uint64
}
