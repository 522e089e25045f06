package topology

// Snapshot identifies one consistent state of an index.
type Snapshot struct {
	IndexVersion        uint64 `msgpack:"i"`
	PartitionGeneration uint64 `msgpack:"p"`
}
