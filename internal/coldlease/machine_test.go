package coldlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a lease that is held although it must not be, or not held
// although it may be. Each row is named after the fault that would cause it.
func TestHeld(t *testing.T) {
	aByB, aByC, cByD := Eviction{"a", 1, "b"}, Eviction{"a", 1, "c"}, Eviction{"c", 1, "d"}
	rows := []struct {
		fault string
		held  bool
		run   func(f *fixture)
	}{
		{"the only VM holds the lease before the end of the fence", false, func(f *fixture) { f.setVMs(1, "b").advanceTo(3450) }},
		{"the only VM never gets the lease", true, func(f *fixture) { f.setVMs(1, "b").advanceTo(3600) }},
		{"lease is held although one VM did not acknowledge it", false, func(f *fixture) { f.setVMs(1, "abc").ackFrom("a").advanceTo(9000) }},
		{"lease is not held although all VMs acknowledged it", true, func(f *fixture) { f.setVMs(1, "abc").ackFrom("ac").advanceTo(9000) }},
		{"fence does not count from the first VM list", false, func(f *fixture) { f.advanceTo(9000).setVMs(1, "b").advanceTo(12400) }},
		{"fence counts from a VM list without this VM", false, func(f *fixture) { f.setVMs(1, "a").advanceTo(9000).setVMs(2, "b").advanceTo(12400) }},
		{"requests that a removed VM may have running are ignored", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setVMs(2, "b").advanceTo(12400) }},
		{"removed VM blocks the lease forever", true, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setVMs(2, "b").advanceTo(12600) }},
		{"removed VM that had promised the leaf blocks the lease", true, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).setVMs(2, "b").advanceTo(9100) }},
		{"acknowledgement of a new VM is not required", false, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).setVMs(2, "abc") }},
		{"older VM list replaces a newer one", true, func(f *fixture) { f.setVMs(2, "b").setVMs(1, "ab").advanceTo(9000) }},
		{"term counts from the acknowledgement", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(3510).ackFrom(""); f.now = 5600 * ms; f.ack("a", 1) }},
		{"start-by time ignores the difference of wall clocks", false, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(3510).ackFrom("").advanceTo(5050) }},
		{"acknowledgement for an earlier boot is accepted", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(3510); f.ack("a", 9) }},
		{"acknowledgements complete a withdrawn request", false, func(f *fixture) {
			f.setVMs(1, "abc").advanceTo(3510).request("a", 1, 1, time.Second)
			f.ack("a", 1)
			f.ack("c", 1)
			f.advanceTo(7000)
			f.ack("a", 1)
			f.ack("c", 1)
		}},
		{"late acknowledgements are accepted after the promises were released", false, func(f *fixture) {
			f.setVMs(1, "abc").advanceTo(3510).request("a", 1, 1, time.Second)
			f.do(RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 2, Released: []topology.LeafID{testLeaf}}})
			f.ack("a", 1)
			f.ack("c", 1)
		}},
		{"promises for a shorter run limit are used for a longer one", false, func(f *fixture) {
			f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).do(Acquire{Leaf: testLeaf, RunLimit: 2 * time.Second})
		}},
		{"lease is held after its release", false, func(f *fixture) { f.setVMs(1, "b").advanceTo(9000).do(Release{Leaf: testLeaf}) }},
		{"acknowledgement of an evicted VM is not required before the end of the fence", false, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setEvictions(aByB).advanceTo(12400) }},
		{"evicted VM blocks the lease forever", true, func(f *fixture) { f.setVMs(1, "ab").advanceTo(9000).setEvictions(aByB).advanceTo(12600) }},
		{"eviction is in force although its evictor is not in the VM list", false, func(f *fixture) { f.setVMs(1, "abd").ackFrom("d").setEvictions(aByC).advanceTo(30000) }},
		{"eviction is in force although its evictor is evicted", false, func(f *fixture) { f.setVMs(1, "abcd").ackFrom("d").setEvictions(aByC, cByD).advanceTo(30000) }},
		{"acknowledgement of a new boot of an evicted VM is not required", false, func(f *fixture) { f.setVMs(1, "ab").setEvictions(aByB).advanceTo(9000).request("a", 2, 1, 0) }},
		{"evicted boot holds the lease", false, func(f *fixture) { f.setVMs(1, "ab").ackFrom("a").advanceTo(9000).setEvictions(Eviction{"b", 1, "a"}) }},
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

// Guards against a promise that is made although it must not be, or refused
// although it may be made. Each row is named after the fault that would cause it.
// VM b does not acquire the lease unless the row passes Acquire.
func TestPromise(t *testing.T) {
	rows := []struct {
		fault string
		acked bool
		run   func(f *fixture) bool
	}{
		{"promise is made before the end of the fence", false, func(f *fixture) bool { return f.advanceTo(3400).request("a", 1, 1, time.Second) }},
		{"fence ignores the run limit", false, func(f *fixture) bool { return f.advanceTo(4000).request("a", 1, 1, 2*time.Second) }},
		{"promise is never made", true, func(f *fixture) bool { return f.advanceTo(3600).request("a", 1, 1, time.Second) }},
		{"leaf is promised to two VMs", false, func(f *fixture) bool {
			f.advanceTo(4000).request("c", 1, 1, time.Second)
			return f.advanceTo(7400).request("a", 1, 1, time.Second)
		}},
		{"leaf is promised to two boots of a VM", false, func(f *fixture) bool {
			f.advanceTo(4000).request("a", 1, 1, time.Second)
			return f.request("a", 2, 1, time.Second)
		}},
		{"promise is not renewed", true, func(f *fixture) bool {
			f.advanceTo(4000).request("a", 1, 1, time.Second)
			return f.request("a", 1, 2, time.Second)
		}},
		{"promise does not expire", true, func(f *fixture) bool {
			f.advanceTo(4000).request("c", 1, 1, time.Second)
			return f.advanceTo(7600).request("a", 1, 1, time.Second)
		}},
		{"release of a promise is ignored", true, func(f *fixture) bool { return release(f, 2) }},
		{"late release ends the promise for a later request", false, func(f *fixture) bool { return release(f, 1) }},
		{"promise is made for a request that arrives after a later one", false, func(f *fixture) bool {
			f.setVMs(1, "ab").advanceTo(4000).do(RequestReceived{From: "a", Boot: 1, Request: Request{Nonce: 3}})
			return f.request("a", 1, 2, time.Second)
		}},
		{"promise is made while a request of this VM runs in the leaf", false, func(f *fixture) bool {
			return f.advanceTo(4000).do(LeafRequestDispatched{testLeaf}).request("a", 1, 1, time.Second)
		}},
		{"promise is made to an evicted boot", false, func(f *fixture) bool {
			return f.advanceTo(4000).setEvictions(Eviction{"a", 1, "c"}).request("a", 1, 1, time.Second)
		}},
		{"holder of the lease promises the leaf", false, func(f *fixture) bool {
			return f.setVMs(1, "b").do(Acquire{testLeaf, time.Second}).advanceTo(4000).request("a", 1, 1, time.Second)
		}},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			assert.Equal(t, row.run(newFixture().do(Release{Leaf: testLeaf})), row.acked)
		})
	}
}

// release lets VM a request a leaf that is promised to VM c after a release by c
// with the given nonce.
func release(f *fixture, nonce uint64) bool {
	f.advanceTo(4000).request("c", 1, 1, time.Second)
	f.do(RequestReceived{From: "c", Boot: 1, Request: Request{Nonce: nonce, Released: []topology.LeafID{testLeaf}}})
	return f.request("a", 1, 1, time.Second)
}

// Guards against evictions of VMs that acknowledge requests, that never confirmed
// a VM list which names this VM, or whose acknowledgements wait to be read while
// this process is paused, and against evictions before the store object was read.
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

// Guards against memory that grows with the number of VMs and leaves that no
// longer exist.
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
	// One sweep per term keeps the sent requests of up to two terms. An unlisted
	// peer keeps its slot until the end of the fence.
	assert.Assert(t, m.slotCount <= 2 && len(m.sentRequests) <= 2*requestsPerTerm+1, "%d slots, %d sent requests", m.slotCount, len(m.sentRequests))
}

// Guards against message fields that are lost in encoding or decoding.
func TestMessagesSurviveEncoding(t *testing.T) {
	in := Request{Nonce: 1, ListVersion: 2, Leaves: []RequestedLeaf{newRequestedLeaf("l", 1500*time.Microsecond)}, Released: []topology.LeafID{"m"}}
	b, err := msgpack.Marshal(in)
	assert.NilError(t, err)
	var out Request
	assert.NilError(t, msgpack.Unmarshal(b, &out))
	assert.Assert(t, out.Nonce == 1 && out.ListVersion == 2 && out.Released[0] == "m" && out.Leaves[0] == in.Leaves[0])
	assert.Equal(t, out.Leaves[0].RunLimitMS, uint32(2))
}
