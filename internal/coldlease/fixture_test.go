package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fixture drives the machine of VM b, which acquires the lease of one leaf. The
// leaf has a run limit of 1 s and thus a fence of 3.5 s. The peers in ackingPeers
// acknowledge every request at once.
type fixture struct {
	m           *Machine
	now         time.Duration
	ackingPeers string
	sent        map[topology.VMID]Request
	proposals   int
}

func newFixture() *fixture {
	f := &fixture{sent: map[topology.VMID]Request{}}
	f.m = New(Config{Self: "b", Boot: 1, Term: testTerm, Margin: testMargin})
	f.step(Acquire{Leaf: testLeaf, RunLimit: time.Second})
	return f
}

func (f *fixture) step(ev Event) (acked bool) {
	for _, a := range f.m.Step(f.now, ev) {
		switch a := a.(type) {
		case SendRequest:
			f.sent[a.To] = a.Request
			for _, id := range f.ackingPeers {
				if topology.VMID(id) == a.To {
					f.ack(a.To, 1)
				}
			}
		case SendAck:
			acked = len(a.Leaves) > 0
		case ProposeEviction:
			f.proposals++
		}
	}
	return acked
}

func (f *fixture) ack(from topology.VMID, requester topology.BootID) {
	f.step(AckReceived{From: from, Boot: 1, Ack: Ack{
		Nonce: f.sent[from].Nonce, Requester: requester, ListVersion: 1, Leaves: []topology.LeafID{testLeaf}}})
}

// advanceTo runs the machine until t milliseconds after its start.
func (f *fixture) advanceTo(t int) *fixture {
	end := time.Duration(t) * ms
	for {
		wake, ok := f.m.NextWake(f.now)
		if !ok || wake > end {
			f.now = end
			return f
		}
		f.now = wake
		f.step(Tick{})
	}
}

// setVMs passes a VM list whose IDs are the letters of vms.
func (f *fixture) setVMs(version uint64, vms string) *fixture {
	ev := ViewChanged{Version: version}
	for _, id := range vms {
		ev.VMs = append(ev.VMs, topology.VMID(id))
	}
	f.step(ev)
	return f
}

func (f *fixture) ackFrom(peers string) *fixture { f.ackingPeers = peers; return f }

func (f *fixture) do(ev Event) *fixture { f.step(ev); return f }

// request passes a request from a peer for the leaf and reports whether the leaf
// was acknowledged.
func (f *fixture) request(from topology.VMID, boot topology.BootID, nonce uint64, runLimit time.Duration) bool {
	return f.step(RequestReceived{From: from, Boot: boot, Request: Request{
		Nonce: nonce, ListVersion: 1, Leaves: []RequestedLeaf{newRequestedLeaf(testLeaf, runLimit)}}})
}

func (f *fixture) setEvictions(list ...Eviction) *fixture {
	return f.do(EvictionsRead{Evictions: list, Version: 1})
}
