package servicedoc

import (
	"fmt"
	"testing"
)

func BenchmarkCheck(b *testing.B) {
	for _, leaves := range []int{500, 11_000, 110_000} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			sections := largeDocument(leaves)
			size := 0
			for _, s := range sections {
				size += len(s.Text)
			}
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				topo, problems := Check(sections)
				if len(problems) > 0 || len(topo.Leaves) != leaves {
					b.Fatal(problems)
				}
			}
		})
	}
}
