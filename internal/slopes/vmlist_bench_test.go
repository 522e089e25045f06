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

// BenchmarkVMListDecode decodes the VM list in the form in which agents send it
// to each other.
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

// BenchmarkVMListDiff applies a list in which one VM was replaced to the
// membership view.
func BenchmarkVMListDiff(b *testing.B) {
	for _, s := range Sizes() {
		b.Run(s.Name, func(b *testing.B) {
			list, now := VMList(s), time.Duration(0)
			build := func() any {
				members := membership.New(list.VMs[0].ID)
				members.Step(0, membership.ListReceived{View: VMList(s)})
				return members
			}
			retained := HeapBytes(build)
			members := build().(*membership.View)
			for b.Loop() {
				now += time.Millisecond
				list = ReplaceVM(list, s.Zones)
				if len(members.Step(now, membership.ListReceived{View: list})) != 2 {
					b.Fatal("expected one VM joined and one left")
				}
			}
			b.ReportMetric(retained/float64(s.VMs), "heap-B/VM")
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

// BenchmarkOwnedLeaves finds the leaves that a relay owns among those of its
// zone. On each change, a relay does so for the current and the previous list.
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

func countOwned(leaves map[topology.LeafID]*topology.Leaf, list topology.VMView, owner topology.VM) int {
	owned := 0
	for id, leaf := range leaves {
		if leaf.Zone != owner.Zone {
			continue
		}
		for _, vm := range ownership.Owners(id, list.InZone(leaf.Zone)) {
			if vm.ID == owner.ID {
				owned++
			}
		}
	}
	return owned
}
