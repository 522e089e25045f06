package snapshot

// Evidence is what a leaf last reported to serve.
type Evidence struct {
	IndexVersions       []uint64
	PartitionGeneration uint64
}
