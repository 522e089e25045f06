package entry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/slopes"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// benchBuilder returns a builder that holds the status of each leaf from both of its
// relays.
func benchBuilder(s slopes.Size, topo *topology.Topology, list topology.VMView) *viewBuilder {
	b := newViewBuilder("vm-00000", "zone-0", noHedges{}, func() time.Duration { return 0 }, func(*view) {})
	b.setTopology(topo)
	b.setVMs(list)
	for id, leaf := range topo.Leaves {
		for _, vm := range ownership.Owners(id, b.current.zoneVMs[leaf.Zone]) {
			b.applyUpdate(singleUpdate(vm.ID, slopes.WarmLeafStatus(id)))
		}
	}
	return b
}

func singleUpdate(from topology.VMID, status message.LeafStatus) *leafUpdate {
	return &leafUpdate{from: from, resync: func() {}, update: message.LeafStatusUpdate{Statuses: []message.LeafStatus{status}}}
}

// BenchmarkView measures the memory of the leaf table and of the plans, and the time
// to rebuild all indexes, of which the builder refreshes a part each second.
func BenchmarkView(b *testing.B) {
	for _, s := range slopes.Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			topo, problems := servicedoc.Check(slopes.Document(s))
			if err := problems.Err(); err != nil {
				b.Fatal(err)
			}
			list := slopes.VMList(s)
			var builder *viewBuilder
			table := slopes.HeapBytes(func() any { builder = benchBuilder(s, topo, list); return builder })
			plans := slopes.HeapBytes(func() any { builder.markAllDirty(); builder.rebuild(); return builder })
			for b.Loop() {
				builder.markAllDirty()
				builder.rebuild()
			}
			leaves := float64(s.Leaves)
			b.ReportMetric(table/leaves, "table-B/leaf")
			b.ReportMetric(plans/leaves, "plans-B/leaf")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/(float64(b.N)*leaves), "ns/leaf")
		})
	}
}

// BenchmarkRelays measures the lookup of a leaf's relays, which each request does.
func BenchmarkRelays(b *testing.B) {
	for _, s := range slopes.Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			topo, problems := servicedoc.Check(slopes.Document(s))
			if err := problems.Err(); err != nil {
				b.Fatal(err)
			}
			builder := newViewBuilder("vm-00000", "zone-0", noHedges{}, func() time.Duration { return 0 }, func(*view) {})
			builder.setTopology(topo)
			builder.setVMs(slopes.VMList(s))
			leaves := slices.Collect(maps.Values(topo.Leaves))[:10]
			b.ResetTimer()
			for n := range b.N {
				builder.current.relays(leaves[n%len(leaves)])
			}
		})
	}
}

// BenchmarkRepeatedUpdate measures an update that changes nothing.
func BenchmarkRepeatedUpdate(b *testing.B) {
	s := slopes.Sizes()[1]
	topo, problems := servicedoc.Check(slopes.Document(s))
	if err := problems.Err(); err != nil {
		b.Fatal(err)
	}
	builder := benchBuilder(s, topo, slopes.VMList(s))
	u := singleUpdate("vm-00000", slopes.WarmLeafStatus("finder-017-000-a"))
	for b.Loop() {
		builder.applyUpdate(u)
	}
}

// BenchmarkMergeHits measures merging the replies of one query and sorting the hits.
func BenchmarkMergeHits(b *testing.B) {
	for _, fanout := range []int{10, 50, 170} {
		for _, hits := range []int{10, 100} {
			b.Run(fmt.Sprintf("fanout=%d/hits=%d", fanout, hits), func(b *testing.B) {
				attempts := make(map[uint64]*attempt, fanout)
				for i := range fanout {
					attempts[uint64(i)] = &attempt{shard: "finder-017-042", hits: shifted(slopes.LeafReply(hits).Hits, i)}
				}
				b.ReportAllocs()
				for b.Loop() {
					r := &queryRun{attempts: attempts}
					for i := range fanout {
						r.merge(uint64(i))
					}
					r.topHits()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanout), "ns/leaf")
			})
		}
	}
}

// shifted raises the scores by an amount that depends on the leaf, so that the hits
// of different leaves interleave.
func shifted(hits []message.Hit, leaf int) []message.Hit {
	for i := range hits {
		hits[i].Score += float64(leaf*7919%101) / 1000
	}
	return hits
}
