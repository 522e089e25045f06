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
		run   func(f *fixture)
	}{
		{"only VM holds within the fence", false, func(f *fixture) { f.setVMs(1, "b").advanceTo(3450) }},
		{"only VM never holds", true, func(f *fixture) { f.setVMs(1, "b").advanceTo(3600) }},
		{"acknowledgement of one VM is missing", false, func(f *fixture) { f.setVMs(1, "abc").ackFrom("a").advanceTo(9000) }},
		{"all acknowledge in vain", true, func(f *fixture) { f.setVMs(1, "abc").ackFrom("ac").advanceTo(9000) }},
		{"fence does not start with the first list", false, func(f *fixture) { f.advanceTo(9000).setVMs(1, "b").advanceTo(12400) }},
		{"list without this VM starts the fence", false, func(f *fixture) { f.setVMs(1, "a").advanceTo(9000).setVMs(2, "b").advanceTo(12400) }},
		{"dropped VM's requests are ignored", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setVMs(2, "b").advanceTo(12400) }},
		{"dropped VM blocks for good", true, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setVMs(2, "b").advanceTo(12600) }},
		{"dropped VM that had promised blocks", true, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).setVMs(2, "b").advanceTo(9100) }},
		{"new VM's acknowledgement is not needed", false, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).setVMs(2, "abc") }},
		{"older list is used", true, func(f *fixture) { f.setVMs(2, "b").setVMs(1, "ab").advanceTo(9000) }},
		{"term counts from the answer", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(3510).ackFrom(""); f.now = 5600 * ms; f.ack("a", 1) }},
		{"start-by too late for other wall clocks", false, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(3510).ackFrom("").advanceTo(5050) }},
		{"answer to an earlier boot counts", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(3510); f.ack("a", 9) }},
		{"answers complete a request that was given up", false, func(f *fixture) {
			f.setVMs(1, "abc").advanceTo(3510).request("a", 1, 1, time.Second)
			f.ack("a", 1)
			f.ack("c", 1)
			f.advanceTo(7000)
			f.ack("a", 1)
			f.ack("c", 1)
		}},
		{"late answers count after the promises were given back", false, func(f *fixture) {
			f.setVMs(1, "abc").advanceTo(3510).request("a", 1, 1, time.Second)
			f.do(RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 2, Released: []topology.LeafID{testLeaf}}})
			f.ack("a", 1)
			f.ack("c", 1)
		}},
		{"longer run limit uses old promises", false, func(f *fixture) {
			f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).do(Acquire{Leaf: testLeaf, RunLimit: 2 * time.Second})
		}},
		{"unwanted leaf is held", false, func(f *fixture) { f.setVMs(1, "b").advanceTo(9000).do(Release{Leaf: testLeaf}) }},
		{"evicted VM is skipped within the fence", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setEvictions(aByB).advanceTo(12400) }},
		{"evicted VM blocks for good", true, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setEvictions(aByB).advanceTo(12600) }},
		{"evictor is not in the list", false, func(f *fixture) { f.setVMs(1, "abd").ackFrom("d").setEvictions(aByC).advanceTo(30000) }},
		{"evictor is evicted itself", false, func(f *fixture) { f.setVMs(1, "abcd").ackFrom("d").setEvictions(aByC, cByD).advanceTo(30000) }},
		{"new boot of an evicted VM is skipped", false, func(f *fixture) { f.setVMs(1, "ab").setEvictions(aByB).advanceTo(9000).request("a", 2, 1, 0) }},
		{"evicted boot holds", false, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).setEvictions(Eviction{"b", 1, "a"}) }},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			f := newFixture()
			row.run(f)
			until, ok := f.m.Held(f.now, testLeaf)
			assert.Equal(t, ok, row.held)
			assert.Assert(t, !ok || until <= f.now+testTerm-ClockMargin)
		})
	}
}

// Each row guards against a promise that is given, or refused, by the fault in
// its name. VM b does not want the leaf unless the row says so.
func TestPromise(t *testing.T) {
	rows := []struct {
		fault string
		acked bool
		run   func(f *fixture) bool
	}{
		{"given within the fence", false, func(f *fixture) bool { return f.advanceTo(3400).request("a", 1, 1, time.Second) }},
		{"fence ignores the run limit", false, func(f *fixture) bool { return f.advanceTo(4000).request("a", 1, 1, 2*time.Second) }},
		{"never given", true, func(f *fixture) bool { return f.advanceTo(3600).request("a", 1, 1, time.Second) }},
		{"given to two VMs", false, func(f *fixture) bool {
			f.advanceTo(4000).request("c", 1, 1, time.Second)
			return f.advanceTo(7400).request("a", 1, 1, time.Second)
		}},
		{"given to two boots", false, func(f *fixture) bool {
			f.advanceTo(4000).request("a", 1, 1, time.Second)
			return f.request("a", 2, 1, time.Second)
		}},
		{"not renewed", true, func(f *fixture) bool {
			f.advanceTo(4000).request("a", 1, 1, time.Second)
			return f.request("a", 1, 2, time.Second)
		}},
		{"does not end", true, func(f *fixture) bool {
			f.advanceTo(4000).request("c", 1, 1, time.Second)
			return f.advanceTo(7600).request("a", 1, 1, time.Second)
		}},
		{"release is ignored", true, func(f *fixture) bool { return release(f, 2) }},
		{"late release ends a later promise", false, func(f *fixture) bool { return release(f, 1) }},
		{"overtaken request is promised", false, func(f *fixture) bool {
			f.setVMs(1, "ab").advanceTo(4000).do(RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 3}})
			return f.request("a", 1, 2, time.Second)
		}},
		{"own request runs", false, func(f *fixture) bool {
			return f.advanceTo(4000).do(LeafRequestDispatched{testLeaf}).request("a", 1, 1, time.Second)
		}},
		{"evicted boot gets it", false, func(f *fixture) bool {
			return f.advanceTo(4000).setEvictions(Eviction{"a", 1, "c"}).request("a", 1, 1, time.Second)
		}},
		{"holder gives it", false, func(f *fixture) bool {
			return f.setVMs(1, "b").do(Acquire{testLeaf, time.Second}).advanceTo(4000).request("a", 1, 1, time.Second)
		}},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			assert.Equal(t, row.run(newFixture().do(Release{Leaf: testLeaf})), row.acked)
		})
	}
}

func release(f *fixture, nonce uint64) bool {
	f.advanceTo(4000).request("c", 1, 1, time.Second)
	f.do(RequestReceived{From: "c", Boot: 1, Request: Request{Nonce: nonce, Released: []topology.LeafID{testLeaf}}})
	return f.request("a", 1, 1, time.Second)
}

// Guards against evictions of VMs that answer, that never confirmed a list with
// this VM, or whose answers wait while this process is paused.
func TestProposeEviction(t *testing.T) {
	confirm := RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 1, ListVersion: 1}}
	assert.Equal(t, newFixture().setVMs(1, "ab").setEvictions().advanceTo(20000).proposals, 0)
	assert.Equal(t, newFixture().setVMs(2, "ab").setEvictions().do(confirm).advanceTo(20000).proposals, 0)
	assert.Equal(t, newFixture().setVMs(1, "ab").setEvictions().ackFrom("a").advanceTo(20000).proposals, 0)
	assert.Equal(t, newFixture().setVMs(1, "ab").do(confirm).advanceTo(20000).proposals, 0)
	f := newFixture().setVMs(1, "ab").setEvictions().do(confirm).advanceTo(5500)
	assert.Equal(t, f.proposals, 0)
	f.now = 9 * time.Second
	assert.Equal(t, f.do(Tick{}).proposals, 0)
	assert.Assert(t, f.advanceTo(13000).proposals > 0)
}

// Guards against memory that grows with VMs and leaves which are gone.
func TestMemoryIsBounded(t *testing.T) {
	f := newFixture()
	for i := range 50 {
		f.setVMs(uint64(i+1), "b"+string(rune('c'+i%20)))
		leaf := topology.LeafID(fmt.Sprint("leaf-", i))
		f.request("a", topology.BootID(i), uint64(i), time.Second)
		f.do(Acquire{leaf, time.Second}).do(LeafRequestDispatched{leaf}).advanceTo(i*10000 + 9000).do(Release{leaf}).do(LeafRequestFinished{leaf})
	}
	f.advanceTo(600000)
	m := f.m
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
