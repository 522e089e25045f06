package slopes

import (
	"bytes"
	"testing"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

// BenchmarkIncremental checks a document again after edits that each change the
// weight of one shard.
func BenchmarkIncremental(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			doc := Document(s)
			var checker servicedoc.IncrementalChecker
			retained := HeapBytes(func() any {
				if _, problems := checker.Check(doc); len(problems) > 0 {
					b.Fatal(problems)
				}
				return &checker
			})
			texts := [2][]byte{doc[1].Text, bytes.Replace(doc[1].Text, []byte("weight = 10"), []byte("weight = 11"), 1)}
			edits := 0
			b.ReportAllocs()
			for b.Loop() {
				edits++
				doc[1].Text = texts[edits%2]
				if topo, problems := checker.Check(doc); len(problems) > 0 || len(topo.Leaves) != s.Leaves {
					b.Fatal(problems)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*s.Leaves), "ns/leaf")
			b.ReportMetric(retained/float64(s.Leaves), "heap-B/leaf")
		})
	}
}
