package topology

import "strconv"

// Zone is the name of an availability zone.
type Zone string

// VMID identifies a VM of the system.
type VMID string

// BootID distinguishes the runs of a process on the same VM.
type BootID uint64

// String returns the ID in hexadecimal.
func (b BootID) String() string { return strconv.FormatUint(uint64(b), 16) }

// LeafID identifies an upstream leaf. It is unique across all indexes.
type LeafID string

// ShardID identifies a shard. It is unique across all indexes.
type ShardID string

// IndexID identifies an index, a set of shards that are queried together.
type IndexID string

// ClassID identifies a class of requests.
type ClassID string
