package slopes

import (
	"testing"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/membership"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// BenchmarkVMListDecode decodes the VM list as one agent sends it to another.
func BenchmarkVMListDecode(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			body, err := wire.EncodeBody(message.VMView{View: VMList(s)})
			if err != nil {
				b.Fatal(err)
			}
			env := &wire.Envelope{Body: body}
			for b.Loop() {
				var msg message.VMView
				if err := wire.DecodeBody(env, &msg); err != nil || len(msg.View.VMs) != s.VMs {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body))/float64(s.VMs), "B/VM")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*s.VMs), "ns/VM")
		})
	}
}

// BenchmarkVMListDiff takes in a list in which one VM was replaced.
func BenchmarkVMListDiff(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			list, now := VMList(s), time.Duration(0)
			build := func() any {
				v := membership.New(list.VMs[0].ID)
				v.Step(0, membership.ListReceived{View: VMList(s)})
				return v
			}
			kept := HeapBytes(build)
			v := build().(*membership.View)
			for b.Loop() {
				now += time.Millisecond
				list = Replace(list, s.Zones)
				if len(v.Step(now, membership.ListReceived{View: list})) != 2 {
					b.Fatal("expected one VM joined and one left")
				}
			}
			b.ReportMetric(kept/float64(s.VMs), "heap-B/VM")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*s.VMs), "ns/VM")
		})
	}
}

// BenchmarkOwners ranks the VMs of a zone for one leaf.
func BenchmarkOwners(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			vms := VMList(s).InZone(zoneName(0))
			for b.Loop() {
				ownership.Owners("finder-017-042-a", vms)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(vms)), "ns/VM")
		})
	}
}

// BenchmarkOwnedLeaves finds a relay's leaves among those of its zone, as a
// relay does under the current and the previous list on each change.
func BenchmarkOwnedLeaves(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			list := VMList(s)
			leaves := mustCheck(b, Document(s), s.Leaves).Leaves
			self, owned := list.VMs[0], 0
			for b.Loop() {
				owned = countOwned(leaves, list, self)
			}
			b.ReportMetric(float64(owned), "leaves/relay")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*s.LeavesPerZone()), "ns/leaf")
		})
	}
}

func countOwned(leaves map[topology.LeafID]*topology.Leaf, list topology.VMView, self topology.VM) int {
	owned := 0
	for id, leaf := range leaves {
		if leaf.Zone != self.Zone {
			continue
		}
		for _, vm := range ownership.Owners(id, list.InZone(leaf.Zone)) {
			if vm.ID == self.ID {
				owned++
			}
		}
	}
	return owned
}
