package coldlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Each row guards against a lease that is held, or not, by the fault in its name.
func TestHeld(t *testing.T) {
	aByB, aByC, cByD := Eviction{"a", 1, "b"}, Eviction{"a", 1, "c"}, Eviction{"c", 1, "d"}
	rows := []struct {
		fault string
		held  bool
		run   func(r *rig)
	}{
		{"only VM holds within the fence", false, func(r *rig) { r.view(1, "b").to(3450) }},
		{"only VM never holds", true, func(r *rig) { r.view(1, "b").to(3600) }},
		{"acknowledgement of one VM is missing", false, func(r *rig) { r.view(1, "abc").answer("a").to(9000) }},
		{"all acknowledge in vain", true, func(r *rig) { r.view(1, "abc").answer("ac").to(9000) }},
		{"fence does not start with the first list", false, func(r *rig) { r.to(9000).view(1, "b").to(12400) }},
		{"list without this VM starts the fence", false, func(r *rig) { r.view(1, "a").to(9000).view(2, "b").to(12400) }},
		{"dropped VM's requests are ignored", false, func(r *rig) { r.view(1, "ab").to(9000).view(2, "b").to(12400) }},
		{"dropped VM blocks for good", true, func(r *rig) { r.view(1, "ab").to(9000).view(2, "b").to(12600) }},
		{"dropped VM that had promised blocks", true, func(r *rig) { r.view(1, "ab").answer("a").to(9000).view(2, "b").to(9100) }},
		{"new VM's acknowledgement is not needed", false, func(r *rig) { r.view(1, "ab").answer("a").to(9000).view(2, "abc") }},
		{"older list is used", true, func(r *rig) { r.view(2, "b").view(1, "ab").to(9000) }},
		{"term counts from the answer", false, func(r *rig) { r.view(1, "ab").to(3510).answer(""); r.now = 5600 * ms; r.ack("a", 1) }},
		{"start-by too late for other wall clocks", false, func(r *rig) { r.view(1, "ab").answer("a").to(3510).answer("").to(5050) }},
		{"answer to an earlier boot counts", false, func(r *rig) { r.view(1, "ab").to(3510); r.ack("a", 9) }},
		{"answers complete a request that was given up", false, func(r *rig) {
			r.view(1, "abc").to(3510).ask("a", 1, 1, time.Second)
			r.ack("a", 1)
			r.ack("c", 1)
			r.to(7000)
			r.ack("a", 1)
			r.ack("c", 1)
		}},
		{"late answers count after the promises were given back", false, func(r *rig) {
			r.view(1, "abc").to(3510).ask("a", 1, 1, time.Second)
			r.do(RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 2, Released: []topology.LeafID{testLeaf}}})
			r.ack("a", 1)
			r.ack("c", 1)
		}},
		{"longer run limit uses old promises", false, func(r *rig) {
			r.view(1, "ab").answer("a").to(9000).do(Acquire{Leaf: testLeaf, RunLimit: 2 * time.Second})
		}},
		{"unwanted leaf is held", false, func(r *rig) { r.view(1, "b").to(9000).do(Release{Leaf: testLeaf}) }},
		{"evicted VM is skipped within the fence", false, func(r *rig) { r.view(1, "ab").to(9000).evict(aByB).to(12400) }},
		{"evicted VM blocks for good", true, func(r *rig) { r.view(1, "ab").to(9000).evict(aByB).to(12600) }},
		{"evictor is not in the list", false, func(r *rig) { r.view(1, "abd").answer("d").evict(aByC).to(30000) }},
		{"evictor is evicted itself", false, func(r *rig) { r.view(1, "abcd").answer("d").evict(aByC, cByD).to(30000) }},
		{"new boot of an evicted VM is skipped", false, func(r *rig) { r.view(1, "ab").evict(aByB).to(9000).ask("a", 2, 1, 0) }},
		{"evicted boot holds", false, func(r *rig) { r.view(1, "ab").answer("a").to(9000).evict(Eviction{"b", 1, "a"}) }},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			r := newRig()
			row.run(r)
			until, ok := r.m.Held(r.now, testLeaf)
			assert.Equal(t, ok, row.held)
			assert.Assert(t, !ok || until <= r.now+testTerm-ClockMargin)
		})
	}
}

// Each row guards against a promise that is given, or refused, by the fault in
// its name. VM b does not want the leaf unless the row says so.
func TestPromise(t *testing.T) {
	rows := []struct {
		fault string
		acked bool
		run   func(r *rig) bool
	}{
		{"given within the fence", false, func(r *rig) bool { return r.to(3400).ask("a", 1, 1, time.Second) }},
		{"fence ignores the run limit", false, func(r *rig) bool { return r.to(4000).ask("a", 1, 1, 2*time.Second) }},
		{"never given", true, func(r *rig) bool { return r.to(3600).ask("a", 1, 1, time.Second) }},
		{"given to two VMs", false, func(r *rig) bool {
			r.to(4000).ask("c", 1, 1, time.Second)
			return r.to(7400).ask("a", 1, 1, time.Second)
		}},
		{"given to two boots", false, func(r *rig) bool { r.to(4000).ask("a", 1, 1, time.Second); return r.ask("a", 2, 1, time.Second) }},
		{"not renewed", true, func(r *rig) bool { r.to(4000).ask("a", 1, 1, time.Second); return r.ask("a", 1, 2, time.Second) }},
		{"does not end", true, func(r *rig) bool {
			r.to(4000).ask("c", 1, 1, time.Second)
			return r.to(7600).ask("a", 1, 1, time.Second)
		}},
		{"release is ignored", true, func(r *rig) bool { return release(r, 2) }},
		{"late release ends a later promise", false, func(r *rig) bool { return release(r, 1) }},
		{"overtaken request is promised", false, func(r *rig) bool {
			r.view(1, "ab").to(4000).do(RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 3}})
			return r.ask("a", 1, 2, time.Second)
		}},
		{"own request runs", false, func(r *rig) bool { return r.to(4000).do(LeafRequestDispatched{testLeaf}).ask("a", 1, 1, time.Second) }},
		{"evicted boot gets it", false, func(r *rig) bool { return r.to(4000).evict(Eviction{"a", 1, "c"}).ask("a", 1, 1, time.Second) }},
		{"holder gives it", false, func(r *rig) bool {
			return r.view(1, "b").do(Acquire{testLeaf, time.Second}).to(4000).ask("a", 1, 1, time.Second)
		}},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			assert.Equal(t, row.run(newRig().do(Release{Leaf: testLeaf})), row.acked)
		})
	}
}

func release(r *rig, nonce uint64) bool {
	r.to(4000).ask("c", 1, 1, time.Second)
	r.do(RequestReceived{From: "c", Boot: 1, Request: Request{Nonce: nonce, Released: []topology.LeafID{testLeaf}}})
	return r.ask("a", 1, 1, time.Second)
}

// Guards against evictions of VMs that answer, that never confirmed a list with
// this VM, or whose answers wait while this process is paused.
func TestProposeEviction(t *testing.T) {
	confirm := RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 1, ListVersion: 1}}
	assert.Equal(t, newRig().view(1, "ab").evict().to(20000).evicts, 0)
	assert.Equal(t, newRig().view(2, "ab").evict().do(confirm).to(20000).evicts, 0)
	assert.Equal(t, newRig().view(1, "ab").evict().answer("a").to(20000).evicts, 0)
	assert.Equal(t, newRig().view(1, "ab").do(confirm).to(20000).evicts, 0)
	r := newRig().view(1, "ab").evict().do(confirm).to(5500)
	assert.Equal(t, r.evicts, 0)
	r.now = 9 * time.Second
	assert.Equal(t, r.do(Tick{}).evicts, 0)
	assert.Assert(t, r.to(13000).evicts > 0)
}

// Guards against memory that grows with VMs and leaves which are gone.
func TestMemoryIsBounded(t *testing.T) {
	r := newRig()
	for i := range 50 {
		r.view(uint64(i+1), "b"+string(rune('c'+i%20)))
		leaf := topology.LeafID(fmt.Sprint("leaf-", i))
		r.ask("a", topology.BootID(i), uint64(i), time.Second)
		r.do(Acquire{leaf, time.Second}).do(LeafRequestDispatched{leaf}).to(i*10000 + 9000).do(Release{leaf}).do(LeafRequestFinished{leaf})
	}
	r.to(600000)
	m := r.m
	assert.Equal(t, len(m.promises)+len(m.unreleased)+len(m.queuedReleases)+len(m.inFlight), 0)
	assert.DeepEqual(t, []int{len(m.peers), len(m.leases)}, []int{1, 1})
	// A sweep per term keeps the rounds of two terms; a dropped peer keeps its slot for the fence.
	assert.Assert(t, m.slotCount <= 2 && len(m.rounds) <= 2*requestsPerTerm+1, "%d slots, %d rounds", m.slotCount, len(m.rounds))
}

// Guards against messages that lose a field on the wire.
func TestMessagesSurviveEncoding(t *testing.T) {
	in := Request{Nonce: 1, ListVersion: 2, Leaves: []RequestedLeaf{newRequestedLeaf("l", 1500*time.Microsecond)}, Released: []topology.LeafID{"m"}}
	b, err := msgpack.Marshal(in)
	assert.NilError(t, err)
	var out Request
	assert.NilError(t, msgpack.Unmarshal(b, &out))
	assert.Assert(t, out.Nonce == 1 && out.ListVersion == 2 && out.Released[0] == "m" && out.Leaves[0] == in.Leaves[0])
	assert.Equal(t, out.Leaves[0].RunLimitMS, uint32(2))
}
