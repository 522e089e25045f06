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

// benchBuilder returns a builder that holds the facts of both relays of each
// leaf.
func benchBuilder(s slopes.Size, topo *topology.Topology, list topology.VMView) *viewBuilder {
	b := newViewBuilder("vm-00000", "zone-0", noHedges{}, func() time.Duration { return 0 }, func(*view) {})
	b.takeTopology(topo)
	b.takeVMs(list)
	for id, leaf := range topo.Leaves {
		for _, vm := range ownership.Owners(id, b.current.zoneVMs[leaf.Zone]) {
			b.takeFacts(report(vm.ID, slopes.Facts(id)))
		}
	}
	return b
}

func report(from topology.VMID, f message.LeafStatus) *leafReport {
	return &leafReport{from: from, resync: func() {}, update: message.LeafStatusUpdate{Statuses: []message.LeafStatus{f}}}
}

// BenchmarkView is the memory of the leaf table and of the plans, and the time
// of the rebuild of all indexes, which the builder does each second.
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
			plans := slopes.HeapBytes(func() any { builder.markAll(); builder.rebuild(); return builder })
			for b.Loop() {
				builder.markAll()
				builder.rebuild()
			}
			leaves := float64(s.Leaves)
			b.ReportMetric(table/leaves, "table-B/leaf")
			b.ReportMetric(plans/leaves, "plans-B/leaf")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/(float64(b.N)*leaves), "ns/leaf")
		})
	}
}

// BenchmarkRelays looks up the relays of a leaf, which each request does.
func BenchmarkRelays(b *testing.B) {
	for _, s := range slopes.Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			topo, problems := servicedoc.Check(slopes.Document(s))
			if err := problems.Err(); err != nil {
				b.Fatal(err)
			}
			builder := newViewBuilder("vm-00000", "zone-0", noHedges{}, func() time.Duration { return 0 }, func(*view) {})
			builder.takeTopology(topo)
			builder.takeVMs(slopes.VMList(s))
			leaves := slices.Collect(maps.Values(topo.Leaves))[:10]
			b.ResetTimer()
			for n := range b.N {
				builder.current.relays(leaves[n%len(leaves)])
			}
		})
	}
}

// BenchmarkTakeFacts stores a repeated report that says nothing new.
func BenchmarkTakeFacts(b *testing.B) {
	s := slopes.Sizes()[1]
	topo, problems := servicedoc.Check(slopes.Document(s))
	if err := problems.Err(); err != nil {
		b.Fatal(err)
	}
	builder := benchBuilder(s, topo, slopes.VMList(s))
	r := report("vm-00000", slopes.Facts("finder-017-000-a"))
	for b.Loop() {
		builder.takeFacts(r)
	}
}

// BenchmarkMergeHits merges the replies of one query and orders the hits.
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

// shifted makes the scores of different leaves interleave.
func shifted(hits []message.Hit, leaf int) []message.Hit {
	for i := range hits {
		hits[i].Score += float64(leaf*7919%101) / 1000
	}
	return hits
}
