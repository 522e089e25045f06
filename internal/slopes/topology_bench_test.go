package slopes

import (
	"testing"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// BenchmarkTopology checks a whole document, as each agent, entry and relay does
// on an edit that the incremental check of servicedoc doesn't cover.
func BenchmarkTopology(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			sections := Document(s)
			retained := HeapBytes(func() any { return mustCheck(b, sections, s.Leaves) })
			b.ReportAllocs()
			for b.Loop() {
				mustCheck(b, sections, s.Leaves)
			}
			leaves := float64(s.Leaves)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/(leaves*float64(b.N)), "ns/leaf")
			b.ReportMetric(retained/leaves, "heap-B/leaf")
			b.ReportMetric(float64(DocumentBytes(sections))/leaves, "text-B/leaf")
		})
	}
}

func mustCheck(b *testing.B, sections []servicedoc.Section, leaves int) *topology.Topology {
	topo, problems := servicedoc.Check(sections)
	if len(problems) > 0 || len(topo.Leaves) != leaves {
		b.Fatalf("%d problems, first %v", len(problems), problems.Err())
	}
	return topo
}
