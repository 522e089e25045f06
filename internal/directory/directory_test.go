package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/outage"
)

func leafSet(id string) Event { return LeafSet{fleet.Leaf{ID: fleet.LeafID(id), Service: "s"}} }

// Guards against a return to an older version of the configuration that arrives late,
// for example because answers of the store were reordered.
func TestConfigurationOnlyRises(t *testing.T) {
	d := New()
	for _, step := range []struct{ arrives, want uint64 }{{5, 5}, {4, 5}, {5, 5}, {9, 9}, {8, 9}} {
		d.ApplyChange(0, ConfigurationSet{&fleet.Configuration{Version: step.arrives}})
		assert.Equal(t, d.Configuration().Version, step.want)
	}
}

// Guards against dropping leaves whose entries expired during an outage of the store,
// and against leaves that stay in use forever after it.
func TestMissingLeavesStayInUseAfterAnOutage(t *testing.T) {
	const back = 10 * time.Second
	rows := []struct {
		name    string
		outage  time.Duration
		leaving bool
		// keptAt and droppedAt are times after the store's return at which the missing
		// leaf is and is no longer in use; keptAt is negative if it is dropped at once.
		keptAt, droppedAt time.Duration
	}{
		{"after an outage", 3 * time.Second, false, 2 * time.Second, 2300 * time.Millisecond},
		{"after a short interruption", 100 * time.Millisecond, false, -1, 0},
		{"a leaf that was leaving", 3 * time.Second, true, -1, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d := New()
			leaf := fleet.Leaf{ID: "a", Leaving: row.leaving}
			d.StoreAnswered(back - row.outage)
			d.ApplyListing(0, KindLeaves, append(otherLeaves(), LeafSet{leaf}))
			d.StoreFailed(back - row.outage)
			d.StoreAnswered(back)
			d.ApplyListing(back, KindLeaves, otherLeaves())
			if row.keptAt >= 0 {
				d.Expire(back + row.keptAt)
				assert.Equal(t, len(d.Leaves()), len(otherLeaves())+1)
			}
			d.Expire(back + row.droppedAt)
			assert.Equal(t, len(d.Leaves()), len(otherLeaves()))
		})
	}
}

// otherLeaves returns entries of leaves besides the one under test.
func otherLeaves() []Event {
	var out []Event
	for i := range 9 {
		out = append(out, leafSet(fmt.Sprint("other-", i)))
	}
	return out
}

// Load pattern: the store is unresponsive while the watch of the leaves waits, and the
// first answer is that all entries have expired. Guards against dropping these leaves:
// in incident inc-5c4b, every query was refused for a second and a half.
func TestEntriesThatLapseBehindAWaitingWatch(t *testing.T) {
	rows := map[string]func(d *Directory){
		"another watch failed": func(d *Directory) {
			d.StoreAnswered(8 * time.Second)
			d.StoreFailed(9 * time.Second)
			d.StoreFailed(9600 * time.Millisecond)
		},
		"no call was answered": func(d *Directory) { d.StoreAnswered(6 * time.Second) },
		"a call was overdue": func(d *Directory) {
			d.StoreAnswered(8 * time.Second)
			for now := 9400 * time.Millisecond; now < 10*time.Second; now += 100 * time.Millisecond {
				d.StoreOverdue(now, 1200*time.Millisecond)
			}
		},
	}
	for name, outage := range rows {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.ApplyListing(0, KindLeaves, otherLeaves())
			outage(d)
			d.StoreAnswered(10 * time.Second)
			var lapsed []Event
			for _, event := range otherLeaves() {
				lapsed = append(lapsed, LeafRemoved{event.(LeafSet).Leaf.ID})
			}
			d.ApplyChanges(10*time.Second, lapsed)
			d.Expire(12 * time.Second)
			assert.Equal(t, len(d.Leaves()), len(otherLeaves()))
			d.ApplyChanges(12*time.Second, otherLeaves()[:4])
			d.Expire(12300 * time.Millisecond)
			assert.Equal(t, len(d.Leaves()), 4)
		})
	}
}

// Guards against dropping a leaf at the end of the grace period although it has
// registered again in time.
func TestLeafReturnsAfterAnOutage(t *testing.T) {
	d := New()
	d.ApplyListing(0, KindLeaves, []Event{leafSet("a")})
	d.StoreFailed(time.Second)
	d.StoreAnswered(5 * time.Second)
	d.ApplyChange(5*time.Second, LeafRemoved{"a"})
	d.ApplyChange(6*time.Second, leafSet("a"))
	assert.Equal(t, len(d.Expire(time.Minute)), 0)
	assert.Equal(t, len(d.Leaves()), 1)
}

// Guards against a grace period that applies to a leaf removed long after the outage,
// which would still get requests.
func TestRemovalAfterGracePeriodIsImmediate(t *testing.T) {
	d := New()
	d.ApplyListing(0, KindLeaves, []Event{leafSet("a")})
	d.StoreFailed(time.Second)
	d.StoreAnswered(5 * time.Second)
	d.StoreAnswered(8 * time.Second)
	d.ApplyChanges(8*time.Second, []Event{LeafRemoved{"a"}})
	assert.Equal(t, len(d.Leaves()), 0)
}

// Guards against using a leaf whose entry was overwritten with invalid data, and
// against dropping other leaves because of it.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	d := New()
	d.ApplyListing(0, KindLeaves, []Event{leafSet("a"), leafSet("b"), Unreadable{Name: "c"}})
	d.ApplyChange(0, Unreadable{Name: "a"})
	assert.Equal(t, len(d.Leaves()), 1)
}

// Guards against stale state after changes were missed because the history was lost:
// a listing must replace all state of its kind.
func TestListingReplacesState(t *testing.T) {
	d := New()
	d.ApplyListing(0, KindLeaves, []Event{leafSet("a")})
	d.ApplyListing(0, KindEvacuations, []Event{EvacuationSet{"z"}})
	d.ApplyListing(0, KindMembers, []Event{memberSet("vm-1", 1)})
	d.ApplyListing(1, KindLeaves, []Event{leafSet("b")})
	d.ApplyListing(1, KindEvacuations, nil)
	d.ApplyListing(1, KindMembers, []Event{memberSet("vm-2", 1)})
	_, ok := d.Leaves()["b"]
	assert.Assert(t, ok && len(d.Leaves()) == 1 && len(d.Evacuated()) == 0)
	assert.Equal(t, len(d.Members(1)), 1)
}

// Guards against shares that stay too small because stopped VMs still count as
// members, and against members before the first listing.
func TestMembersExpireWithoutRefresh(t *testing.T) {
	d := New()
	assert.Equal(t, len(d.Members(0)), 0)
	for turn := range 6 {
		now := time.Duration(turn) * MemberRefresh
		d.ApplyListing(now, KindMembers, []Event{memberSet("alive", uint64(turn)), memberSet("dead", 1)})
	}
	members := d.Members(5 * MemberRefresh)
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Name, "alive")
}

func memberSet(vm string, refresh uint64) MemberSet {
	return MemberSet{VM: delegation.VM{Name: vm}, Refresh: refresh}
}

// Load pattern: the feed from another VM falls silent for two seconds, or its copy becomes old,
// while the store is well and a leaf leaves; the next answer, of another VM, removes its entry.
// Guards against a leaf that has left and stays in use since the silence counts as an outage of
// the store, and against dropping a leaf whose entry has lapsed in a real one.
func TestSilentFeedIsNoOutageOfTheStore(t *testing.T) {
	for name, row := range map[string]struct {
		// before happens before the answer that removes the leaf, at 10 s.
		before func(d *Directory)
		grace  time.Duration
		kept   bool
	}{
		"no answer":                          {func(*Directory) {}, 0, false},
		"old copies":                         {func(d *Directory) { d.PeerAnswered(8500*time.Millisecond, 2*time.Second, outage.State{}) }, 0, false},
		"this VM alone cannot reach it":      {func(d *Directory) { d.StoreFailed(8500 * time.Millisecond) }, 0, false},
		"the peer knows of an outage":        {func(*Directory) {}, 2 * time.Second, true},
		"the peer states too long an outage": {func(*Directory) {}, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			d.PeerAnswered(8*time.Second, 0, outage.State{})
			d.ApplyListing(8*time.Second, KindLeaves, append(otherLeaves(), leafSet("a")))
			row.before(d)
			d.PeerAnswered(10*time.Second, 0, outage.State{GraceLeft: row.grace, Lasted: 1500 * time.Millisecond, Seen: 2})
			d.ApplyChanges(10*time.Second, []Event{LeafRemoved{"a"}})
			_, kept := d.Leaves()["a"]
			assert.Equal(t, kept, row.kept)
			d.Expire(10*time.Second + outage.GracePeriod)
			_, kept = d.Leaves()["a"]
			assert.Assert(t, !kept)
		})
	}
}

// Guards against an outage that a VM declares when it calls the store again after it has read
// from another VM: its own calls failed long ago, and the store was well.
func TestOwnFailuresAreForgottenWithAFreshPeer(t *testing.T) {
	d := New()
	d.StoreFailed(time.Second)
	d.PeerAnswered(2*time.Second, 0, outage.State{})
	assert.Assert(t, !d.StoreAnswered(4*time.Second))
	d.StoreFailed(5 * time.Second)
	d.PeerAnswered(6*time.Second, 2*time.Second, outage.State{})
	assert.Assert(t, d.StoreAnswered(7*time.Second))
}
