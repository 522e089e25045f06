package slopes

import (
	"math/rand/v2"
	"testing"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

// BenchmarkVMListApply passes each VM of the next list and each removed VM to the
// confsync machine, as an agent does for each list. It looks up each VM of the
// previous list in the next one to find the removed VMs.
func BenchmarkVMListApply(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			list := VMList(s)
			machine := confsync.New(list.VMs[0], rand.New(rand.NewPCG(1, 1)))
			for b.Loop() {
				next, removed := ReplaceVM(list, s.Zones), 0
				for _, vm := range next.VMs {
					machine.Step(0, confsync.PeerJoined{VM: vm})
				}
				for _, vm := range list.VMs {
					if _, stays := next.Find(vm.ID); !stays {
						machine.Step(0, confsync.PeerLeft{VM: vm.ID})
						removed++
					}
				}
				if removed != 1 {
					b.Fatalf("%d VMs left, expected 1", removed)
				}
				list = next
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*s.VMs), "ns/VM")
		})
	}
}
