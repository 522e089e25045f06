// Package topology holds the typed description of a search service: its
// availability zones, indexes, shards, leaves and classes, as one generation of
// the configuration defines them. Values are immutable after they are built.
package topology
