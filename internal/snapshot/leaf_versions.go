package snapshot

// LeafVersions is what a leaf last reported to serve.
type LeafVersions struct {
	IndexVersions       []uint64
	PartitionGeneration uint64
}
