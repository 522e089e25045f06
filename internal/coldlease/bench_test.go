package coldlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// BenchmarkRenewal measures one renewal of the leases of all leaves of a relay:
// one request to each peer, one acknowledgement from each, and the
// acknowledgements of the requests of all peers. The reported bytes are the sizes
// of the msgpack bodies per leaf and peer.
func BenchmarkRenewal(b *testing.B) {
	for _, row := range []struct{ leaves, peers int }{
		{1, 2}, {13, 2}, {1, 29}, {13, 29}, {1, 266}, {46, 266}, {500, 266},
	} {
		b.Run(fmt.Sprintf("leaves=%d/peers=%d", row.leaves, row.peers), func(b *testing.B) {
			benchmarkRenewal(b, row.leaves, row.peers)
		})
	}
}

func benchmarkRenewal(b *testing.B, leaves, peers int) {
	m := New(Config{Self: "vm-0", Boot: 1, Term: testTerm, Margin: testMargin})
	view := ViewChanged{Version: 1, VMs: []topology.VMID{"vm-0"}}
	ack := Ack{Requester: 1, ListVersion: 1}
	others := make([]RequestReceived, peers)
	for i := range others {
		id := topology.VMID(fmt.Sprint("vm-", i+1))
		view.VMs = append(view.VMs, id)
		others[i] = RequestReceived{From: id, Boot: topology.BootID(i + 2)}
		for l := range leaves {
			others[i].Leaves = append(others[i].Leaves, newRequestedLeaf(topology.LeafID(fmt.Sprintf("shard-%05d-%d", l, i)), time.Second))
		}
	}
	m.Step(0, view)
	for l := range leaves {
		id := topology.LeafID(fmt.Sprintf("shard-%05d-own", l))
		m.Step(0, Acquire{Leaf: id, RunLimit: time.Second})
		ack.Leaves = append(ack.Leaves, id)
	}
	now, requests, acks := 5*time.Second, 0, 0
	var last Request
	b.ReportAllocs()
	for b.Loop() {
		now += m.requestInterval()
		for _, a := range m.Step(now, Tick{}) {
			if r, ok := a.(SendRequest); ok {
				last = r.Request
				ack.Nonce = last.Nonce
				m.Step(now, AckReceived{From: r.To, Boot: 1, Ack: ack})
				requests++
			}
		}
		for i := range others {
			others[i].Nonce++
			acks += len(m.Step(now, others[i]))
		}
	}
	if _, ok := m.Held(now, ack.Leaves[0]); !ok || requests == 0 || requests != acks {
		b.Fatalf("%d requests, %d acks, lease held: %v", requests, acks, ok)
	}
	body, _ := msgpack.Marshal(last)
	reply, _ := msgpack.Marshal(ack)
	b.ReportMetric(float64(len(body))/float64(leaves), "request-B/leaf")
	b.ReportMetric(float64(len(reply))/float64(leaves), "ack-B/leaf")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*leaves*peers), "ns/leaf/peer")
}
