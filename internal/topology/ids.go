package topology

import "strconv"

// Zone names an availability zone.
type Zone string

// VMID names a VM of the system.
type VMID string

// BootID tells one run of a process from the next on the same VM.
type BootID uint64

// String returns the ID in hexadecimal.
func (b BootID) String() string { return strconv.FormatUint(uint64(b), 16) }

// LeafID names an upstream leaf; unique over all indexes.
type LeafID string

// ShardID names a shard; unique over all indexes.
type ShardID string

// IndexID names an index, which is a set of shards that are queried together.
type IndexID string

// ClassID names a class of requests.
type ClassID string
