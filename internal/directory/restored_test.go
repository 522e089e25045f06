package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/outage"
)

const restoredAt = 10 * time.Second

// Guards against requests to an evacuated zone, since the evacuation is younger than the
// copy from which the store was restored, and against one that does not end.
func TestEvacuationThatARestoredStoreLacks(t *testing.T) {
	start := func() *Directory {
		d := New()
		d.ApplyListing(0, KindEvacuations, []Event{EvacuationSet{"z"}})
		d.StoreRestored(restoredAt)
		d.ApplyListing(restoredAt, KindEvacuations, nil)
		d.ApplyListing(restoredAt+time.Second, KindEvacuations, nil)
		return d
	}
	d := start()
	assert.Assert(t, d.Evacuated()["z"])
	assert.Equal(t, len(d.Expire(restoredAt+restoreGracePeriod-1)), 0)
	assert.Assert(t, d.Evacuated()["z"])
	assert.DeepEqual(t, d.Expire(restoredAt+restoreGracePeriod), []Kind{KindEvacuations})
	assert.Assert(t, !d.Evacuated()["z"], "not written again")

	d = start()
	d.ApplyChange(restoredAt+2*time.Second, EvacuationSet{"z"})
	assert.Equal(t, len(d.Expire(restoredAt+restoreGracePeriod)), 0)
	assert.Assert(t, d.Evacuated()["z"], "written again")

	d = start()
	d.ApplyChange(restoredAt+2*time.Second, EvacuationRemoved{"z"})
	assert.Assert(t, !d.Evacuated()["z"], "ended")
}

// Guards against requests to a leaf that was leaving or has left, whose older entry a
// restored store holds.
func TestLeafThatLeftBeforeTheStoreWasRestored(t *testing.T) {
	entry := func(started int64, leaving bool) Event {
		return LeafSet{fleet.Leaf{ID: "a", Service: "s", Started: started, Leaving: leaving}}
	}
	for _, row := range []struct {
		name   string
		before []Event
		// started is that of the restored entry.
		started int64
		used    bool
	}{
		{"leaving", []Event{entry(1, false), entry(1, true)}, 1, false},
		{"removed", []Event{entry(1, false), LeafRemoved{"a"}}, 1, false},
		{"left", []Event{entry(1, false), entry(1, true), LeafRemoved{"a"}}, 1, false},
		{"another process", []Event{entry(1, false), entry(1, true)}, 2, true},
		{"in use", []Event{entry(1, false)}, 1, true},
		{"not known", nil, 1, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := New()
			d.ApplyListing(0, KindLeaves, otherLeaves())
			for _, event := range row.before {
				d.ApplyChange(time.Second, event)
			}
			d.StoreRestored(restoredAt)
			d.ApplyListing(restoredAt, KindLeaves, append(otherLeaves(), entry(row.started, false)))
			assert.Equal(t, d.Leaves()["a"].Leaving, !row.used)
			d.ApplyListing(restoredAt+time.Second, KindLeaves, append(otherLeaves(), entry(row.started, false)))
			assert.Equal(t, d.Leaves()["a"].Leaving, !row.used, "listed once more")
			d.Expire(restoredAt + restoreGracePeriod)
			assert.Assert(t, !d.Leaves()["a"].Leaving, "the store holds the entry still")
		})
	}
}

// Guards against a leaf that is dropped since it is younger than the copy.
func TestLeafThatARestoredStoreLacks(t *testing.T) {
	d := New()
	d.ApplyListing(0, KindLeaves, append(otherLeaves(), leafSet("a")))
	d.StoreRestored(restoredAt)
	d.ApplyListing(restoredAt, KindLeaves, otherLeaves())
	_, ok := d.Leaves()["a"]
	assert.Assert(t, ok)
	d.Expire(restoredAt + outage.GracePeriod)
	_, ok = d.Leaves()["a"]
	assert.Assert(t, !ok)
}

// Guards against shares for VMs that have left, and against VMs that get none since their
// entries are younger than the copy.
func TestMembersOfARestoredStore(t *testing.T) {
	set := func(name string, refresh uint64) Event {
		return MemberSet{VM: delegation.VM{Name: name}, Refresh: refresh}
	}
	d := New()
	d.ApplyListing(0, KindMembers, []Event{set("stays", 1), set("left", 1)})
	d.ApplyChange(time.Second, MemberRemoved{"left"})
	d.ApplyChange(2*time.Second, set("joined", 1))
	d.StoreRestored(restoredAt)
	d.ApplyListing(restoredAt, KindMembers, []Event{set("stays", 1), set("left", 1)})
	assert.Equal(t, len(d.Members(restoredAt)), 3, "the one that left cannot be told from the others")
	d.ApplyChange(restoredAt+time.Second, set("stays", 2))
	d.ApplyChange(restoredAt+time.Second, set("joined", 2))
	assert.Equal(t, len(d.Members(restoredAt+unconfirmedLifetime+1)), 2)
	assert.Equal(t, len(d.Members(restoredAt+memberLifetime)), 2)
}
