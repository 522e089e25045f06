package slopes

import (
	"math/rand/v2"
	"testing"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

// BenchmarkVMListApply looks up each VM of the previous list in the next one
// and hands each VM to the confsync machine, as an agent does for each list.
func BenchmarkVMListApply(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			list := VMList(s)
			m := confsync.New(list.VMs[0], rand.New(rand.NewPCG(1, 1)))
			for b.Loop() {
				next, gone := Replace(list, s.Zones), 0
				for _, vm := range next.VMs {
					m.Step(0, confsync.PeerJoined{VM: vm})
				}
				for _, vm := range list.VMs {
					if _, stays := next.Find(vm.ID); !stays {
						m.Step(0, confsync.PeerLeft{VM: vm.ID})
						gone++
					}
				}
				if gone != 1 {
					b.Fatalf("%d VMs left, expected 1", gone)
				}
				list = next
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*s.VMs), "ns/VM")
		})
	}
}
