package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// fixture drives the machine of VM b, whose leaf has a run limit of 1 s and thus a
// fence of 3.5 s. Peers in answers acknowledge every request at once.
type fixture struct {
	m           *Machine
	now         time.Duration
	ackingPeers string
	sent        map[topology.VMID]Request
	proposals   int
}

func newFixture() *fixture {
	r := &fixture{sent: map[topology.VMID]Request{}}
	r.m = New(Config{Self: "b", Boot: 1, Term: testTerm, Margin: testMargin})
	r.step(Acquire{Leaf: testLeaf, RunLimit: time.Second})
	return r
}

func (r *fixture) step(ev Event) (acked bool) {
	for _, a := range r.m.Step(r.now, ev) {
		switch a := a.(type) {
		case SendRequest:
			r.sent[a.To] = a.Request
			for _, id := range r.ackingPeers {
				if topology.VMID(id) == a.To {
					r.ack(a.To, 1)
				}
			}
		case SendAck:
			acked = len(a.Leaves) > 0
		case ProposeEviction:
			r.proposals++
		}
	}
	return acked
}

func (r *fixture) ack(from topology.VMID, asker topology.BootID) {
	r.step(AckReceived{From: from, Boot: 1, Ack: Ack{
		Nonce: r.sent[from].Nonce, Requester: asker, ListVersion: 1, Leaves: []topology.LeafID{testLeaf}}})
}

// advanceTo lets time pass up advanceTo a time in milliseconds.
func (r *fixture) advanceTo(t int) *fixture {
	end := time.Duration(t) * ms
	for {
		wake, ok := r.m.NextWake(r.now)
		if !ok || wake > end {
			r.now = end
			return r
		}
		r.now = wake
		r.step(Tick{})
	}
}

func (r *fixture) setVMs(version uint64, vms string) *fixture {
	ev := ViewChanged{Version: version}
	for _, id := range vms {
		ev.VMs = append(ev.VMs, topology.VMID(id))
	}
	r.step(ev)
	return r
}

func (r *fixture) ackFrom(peers string) *fixture { r.ackingPeers = peers; return r }

func (r *fixture) do(ev Event) *fixture { r.step(ev); return r }

func (r *fixture) request(from topology.VMID, boot topology.BootID, nonce uint64, runLimit time.Duration) bool {
	return r.step(RequestReceived{From: from, Boot: boot, Request: Request{
		Nonce: nonce, ListVersion: 1, Leaves: []RequestedLeaf{newRequestedLeaf(testLeaf, runLimit)}}})
}

func (r *fixture) setEvictions(list ...Eviction) *fixture {
	return r.do(EvictionsRead{Evictions: list, Version: 1})
}
