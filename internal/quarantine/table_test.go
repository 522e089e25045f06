package quarantine

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	finder = topology.ClassID("course-finder")
	hold   = DefaultLossTTL
)

func table(origin uint64) *Table { return New(Config{Origin: origin, MaxEntries: 8}) }

func spread(now time.Duration, facts []LossReport, to ...*Table) {
	for _, f := range facts {
		for _, t := range to {
			t.ApplyReport(now, f)
		}
	}
}

// Guards against a request that the caller sends to another entry after each
// crash: losses on different VMs count together, in any order and repeated.
func TestLossesOnTwoVMsBlockEverywhere(t *testing.T) {
	a, b, c := table(1), table(2), table(3)
	first := a.RecordLoss(0, finder, 7)
	spread(time.Second, append(first, first...), b, c, a)
	assert.Assert(t, !a.Blocked(time.Second, 7) && !b.Blocked(time.Second, 7))
	second := b.RecordLoss(2*time.Second, finder, 7)
	assert.Assert(t, second[0].Blocked && b.Blocked(2*time.Second, 7))
	spread(3*time.Second, append(second, first...), a, c)
	for _, vm := range []*Table{a, b, c} {
		assert.Assert(t, vm.Blocked(hold, 7) && !vm.Blocked(hold+4*time.Second, 7))
		assert.Assert(t, !vm.Blocked(hold, 8))
	}
}

// Guards against losses that are far apart blocking a request.
func TestLossesTooFarApartDoNotBlock(t *testing.T) {
	a := table(1)
	a.RecordLoss(0, finder, 7)
	assert.Assert(t, !a.RecordLoss(hold, finder, 7)[0].Blocked)
	assert.Assert(t, a.RecordLoss(2*hold-1, finder, 7)[0].Blocked)
}

// Guards against a VM that joins after the first loss has ended and so does
// not know the quarantine, and against a fact that changes on the wire.
func TestFactsBlockOnAVMThatJoinsLate(t *testing.T) {
	a, late := table(1), table(9)
	a.RecordLoss(0, finder, 7)
	a.RecordLoss(hold-time.Minute, finder, 7)
	now := hold + time.Minute
	raw, err := msgpack.Marshal(a.ActiveLosses(now))
	assert.NilError(t, err)
	var facts []LossReport
	assert.NilError(t, msgpack.Unmarshal(raw, &facts))
	assert.DeepEqual(t, facts, a.ActiveLosses(now))
	spread(now, facts, late)
	assert.Assert(t, late.Blocked(now, 7) && late.Blocked(2*hold-time.Minute-1, 7))
	assert.Assert(t, !late.Blocked(2*hold-time.Minute, 7))
}

// Guards against a quarantine that VMs prolong for each other: with messages
// that take 2 s, each VM sends all its facts to the others all the time.
func TestEchoNeverProlongs(t *testing.T) {
	const transit = 2 * time.Second
	vms := []*Table{table(1), table(2), table(3)}
	vms[0].RecordLoss(0, finder, 7)
	vms[0].RecordLoss(0, finder, 7)
	onTheWay := [][]LossReport{}
	for now := time.Duration(0); now < 3*hold; now += time.Second {
		var sent []LossReport
		for _, vm := range vms {
			sent = append(sent, vm.ActiveLosses(now)...)
		}
		onTheWay = append(onTheWay, sent)
		if arrived := len(onTheWay) - 1 - int(transit/time.Second); arrived >= 0 {
			spread(now, onTheWay[arrived], vms...)
		}
		for i, vm := range vms {
			end := hold + time.Duration(min(i, 1))*transit
			assert.Equal(t, vm.Blocked(now, 7), now < end && (i == 0 || now >= transit), "VM %d at %v", i, now)
		}
	}
}

// Guards against an attacker who flushes a quarantine with many distinct
// requests, whether they are answered or crash an upstream once or twice.
func TestDistinctRequestsDoNotFlushAQuarantine(t *testing.T) {
	for _, losses := range []int{0, 1, 2} {
		a := table(1)
		a.RecordLoss(0, finder, 7)
		a.RecordLoss(0, finder, 7)
		for i := range uint64(1000) {
			for range losses {
				a.RecordLoss(time.Second, finder, 100+i)
			}
			a.RecordReply(time.Second, 5000+i)
			a.NeedsCanary(time.Second, finder, topology.CanaryAlways, 9000+i)
		}
		assert.Assert(t, a.Blocked(hold-1, 7), "%d losses each", losses)
		assert.Assert(t, len(a.entries) <= 8 && len(a.seen.newer)+len(a.seen.previous) <= 8)
	}
}

// Guards against a full table that stays full after its entries have ended.
func TestEndedEntriesMakeRoom(t *testing.T) {
	a := table(1)
	for i := range uint64(20) {
		a.RecordLoss(0, finder, i)
		a.RecordLoss(0, finder, i)
	}
	for range 2 {
		assert.Assert(t, !a.RecordLoss(1, finder, 99)[0].Blocked)
	}
	a.RecordLoss(hold, finder, 99)
	assert.Assert(t, a.RecordLoss(hold, finder, 99)[0].Blocked)
}

// Each row guards against a canary that is missing or not needed.
func TestCanary(t *testing.T) {
	lost := func(a *Table) { a.RecordLoss(0, finder, 7) }
	cleared := func(a *Table) { a.RecordLoss(0, finder, 7); a.RecordReply(0, 8) }
	learned := func(a *Table) {
		a.ApplyReport(0, LossReport{Class: finder, Fingerprint: 7, Origin: 2, Seq: 1, Remaining: time.Minute})
	}
	rows := []struct {
		name  string
		setup func(*Table)
		at    time.Duration
		class topology.ClassID
		mode  topology.CanaryMode
		print uint64
		want  bool
	}{
		{"always, unseen", func(*Table) {}, 0, finder, topology.CanaryAlways, 8, true},
		{"always, seen", cleared, 0, finder, topology.CanaryAlways, 8, false},
		{"always, seen and then lost", func(a *Table) { a.RecordReply(0, 7); lost(a) }, 0, finder, topology.CanaryAlways, 7, true},
		{"never", lost, 0, finder, topology.CanaryNever, 7, false},
		{"suspect without a loss", func(*Table) {}, 0, finder, topology.CanarySuspect, 8, false},
		{"suspect after a loss", lost, DefaultSuspectTTL - 1, finder, topology.CanarySuspect, 8, true},
		{"suspect, seen", cleared, 0, finder, topology.CanarySuspect, 8, false},
		{"suspect long after a loss", lost, DefaultSuspectTTL, finder, topology.CanarySuspect, 8, false},
		{"suspect, loss of another class", lost, 0, "roster", topology.CanarySuspect, 8, false},
		{"suspect after a loss on another VM", learned, time.Minute - 1, finder, topology.CanarySuspect, 8, true},
		{"suspect long after a loss on another VM", learned, time.Minute, finder, topology.CanarySuspect, 8, false},
	}
	for _, row := range rows {
		a := table(1)
		row.setup(a)
		assert.Equal(t, a.NeedsCanary(row.at, row.class, row.mode, row.print), row.want, row.name)
	}
}

// Guards against one fingerprint for two requests that differ only in where
// the class ends.
func TestFingerprintSeparatesClassAndPayload(t *testing.T) {
	assert.Assert(t, Fingerprint("ab", []byte("c")) != Fingerprint("a", []byte("bc")))
	assert.Equal(t, Fingerprint("a", []byte("b")), Fingerprint("a", []byte("b")))
}

func BenchmarkBlocked(b *testing.B) {
	t := New(Config{})
	for i := range uint64(DefaultMaxEntries) {
		t.RecordLoss(0, finder, i)
		t.RecordLoss(0, finder, i)
	}
	payload := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		t.Blocked(1, Fingerprint(finder, payload))
	}
}
