package snapshot

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// testIndex returns an index with shards of weight 10, 20, ... and the given
// number of replicas per shard.
func testIndex(shards, replicas int) *topology.Index {
	index := &topology.Index{PartitionGeneration: 3}
	for i := range shards {
		shard := &topology.Shard{Weight: uint64(10 * (i + 1))}
		for r := range replicas {
			shard.Leaves = append(shard.Leaves, &topology.Leaf{ID: topology.LeafID(fmt.Sprintf("s%d-%c", i, 'a'+r))})
		}
		index.Shards = append(index.Shards, shard)
	}
	return index
}

func leafVersions(generation uint64, versions ...uint64) LeafVersions {
	return LeafVersions{IndexVersions: versions, PartitionGeneration: generation}
}

// Guards against pinning a snapshot that a shard cannot serve while all shards
// serve another one, and against counting leaves with another partition map.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions map[topology.LeafID]LeafVersions
		want     uint64 // 0 for none
	}{
		{"no versions", nil, 0},
		{"newest that all serve", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 7, 8), "s1-a": leafVersions(3, 8, 7), "s2-a": leafVersions(3, 7, 8, 9)}, 8},
		{"all before newest", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 7), "s1-a": leafVersions(3, 7, 8), "s2-a": leafVersions(3, 7, 8)}, 7},
		{"replicas complete a version", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 7), "s0-b": leafVersions(3, 8), "s1-a": leafVersions(3, 7, 8), "s2-b": leafVersions(3, 7, 8)}, 8},
		{"most weight", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 9), "s1-a": leafVersions(3, 9), "s2-a": leafVersions(3, 5, 6)}, 9},
		{"replicas count once", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 9), "s0-b": leafVersions(3, 9), "s1-a": leafVersions(3, 8)}, 8},
		{"newer on a tie", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 5), "s1-a": leafVersions(3, 5), "s2-a": leafVersions(3, 6)}, 6},
		{"other partition map", map[topology.LeafID]LeafVersions{"s0-a": leafVersions(4, 9), "s1-a": leafVersions(4, 9), "s2-a": leafVersions(3, 7)}, 7},
	} {
		got, ok := Choose(testIndex(3, 2), c.versions)
		assert.Equal(t, ok, c.want != 0, c.name)
		assert.Equal(t, got.IndexVersion, c.want, c.name)
	}
}

// Guards against choosing a newer snapshot that a shard of weight zero doesn't
// serve over one of the same weight that all shards serve.
func TestChooseCountsShardsOfWeightZero(t *testing.T) {
	index := testIndex(2, 1)
	index.Shards[1].Weight = 0
	got, _ := Choose(index, map[topology.LeafID]LeafVersions{"s0-a": leafVersions(3, 7, 8), "s1-a": leafVersions(3, 7)})
	assert.Equal(t, got, topology.Snapshot{IndexVersion: 7, PartitionGeneration: 3})
}

// BenchmarkChoose measures today's number of leaves, ten times as many and the
// design target, with two leaves per shard.
func BenchmarkChoose(b *testing.B) {
	for _, leaves := range []int{116, 1_160, 110_000} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) { benchmarkChoose(b, leaves) })
	}
}

func benchmarkChoose(b *testing.B, leaves int) {
	index := testIndex(leaves/2, 2)
	versions := map[topology.LeafID]LeafVersions{}
	for i, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			versions[leaf.ID] = leafVersions(3, 7, 8+uint64(i%2))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(index, versions)
	}
}
