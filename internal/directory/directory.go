package directory

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/outage"
)

const (
	// maxSuspectedUse is how long a leaf whose entry is missing stays in use since the copy
	// was last known to be complete, if an outage of the store is only suspected. Together with
	// the time of housekeeping and of a request on its way it is less than the least time for
	// which a leaf that has left goes on serving, 3 s.
	maxSuspectedUse = 2200 * time.Millisecond
	// restoreGracePeriod is how long state that a restored store lacks, or has again, is
	// not acted on. The platform writes again within about two seconds what was lost, and
	// removes the entries of leaves that have ended after three heartbeats.
	restoreGracePeriod = 5 * time.Second
	// departedLifetime is how long a leaf that was removed is remembered. A copy from which
	// a store is restored is some seconds old.
	departedLifetime = time.Minute
	// unconfirmedLifetime is how long a member counts whose entry was in a restored store,
	// and may be older than its removal. Each VM refreshes its entry earlier, several times.
	unconfirmedLifetime = 30 * time.Second
	// memberLifetime is how long a member counts without refreshing its entry: three
	// refresh periods.
	memberLifetime = 3 * MemberRefresh
)

// MemberRefresh is the time between two refreshes of a member entry.
const MemberRefresh = 2 * time.Minute

// Directory holds the state of one VM. It is not safe for concurrent use.
type Directory struct {
	configuration *fleet.Configuration
	leaves        map[fleet.LeafID]fleet.Leaf
	// missing holds the leaves in use whose entries disappeared in an outage, and when the
	// copy that had each of them was last known to be complete.
	missing map[fleet.LeafID]time.Duration
	// leavesCompleteAt is when the copy of the leaves was last known to be complete.
	leavesCompleteAt time.Duration
	// departed holds the leaves that were removed, overridden the entries of a restored store
	// in whose place a leaf counts as leaving.
	departed   map[fleet.LeafID]departedLeaf
	overridden map[fleet.LeafID]fleet.Leaf
	evacuated  map[fleet.Zone]bool
	// heldZones are the evacuated zones that a restored store does not name.
	heldZones map[fleet.Zone]bool
	members   map[string]member

	outages *outage.Detector
	// restoredUntil is the end of the grace period after the store was restored.
	restoredUntil time.Duration
	// restoreGraceUntil is until when leaves stay in use that a restored store lacks.
	restoreGraceUntil time.Duration
}

type departedLeaf struct {
	started int64
	at      time.Duration
}

type member struct {
	vm          delegation.VM
	refresh     uint64
	refreshedAt time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		leaves:     make(map[fleet.LeafID]fleet.Leaf),
		missing:    make(map[fleet.LeafID]time.Duration),
		departed:   make(map[fleet.LeafID]departedLeaf),
		overridden: make(map[fleet.LeafID]fleet.Leaf),
		evacuated:  make(map[fleet.Zone]bool),
		heldZones:  make(map[fleet.Zone]bool),
		members:    make(map[string]member),
		outages:    outage.New(),
	}
}

// StoreRestored records that the store was restored from an older copy. It must be called
// before its state is applied. What was lost is written again, so that for a while missing
// leaves and evacuations stay, and leaves that were leaving or removed are not used again.
func (d *Directory) StoreRestored(now time.Duration) {
	d.restoredUntil = now + restoreGracePeriod
	d.restoreGraceUntil = now + outage.GracePeriod
}

// restored reports whether the grace period after a restore has not ended.
func (d *Directory) restored(now time.Duration) bool { return now < d.restoredUntil }

// StoreFailed records that a call of any kind to the store itself failed.
func (d *Directory) StoreFailed(now time.Duration) { d.outages.Failed(now) }

// StoreOverdue records that a call to the store itself is overdue. interval is the longest time
// between two answers of any kind while the store answers.
func (d *Directory) StoreOverdue(now, interval time.Duration) { d.outages.Overdue(now, interval) }

// StoreAnswered records that a call of any kind to the store itself succeeded and reports
// whether this ended an outage. It must be called before the events of that call are applied.
func (d *Directory) StoreAnswered(now time.Duration) bool { return d.outages.Answered(now) }

// PeerAnswered records the answer of another VM: how old its copy is, and what it states of the
// store. It must be called before the events of the answer are applied.
func (d *Directory) PeerAnswered(now, age time.Duration, s outage.State) {
	d.outages.Heard(now, s)
	d.outages.Confirmed(now, now-age)
}

// PeerStated records what another VM states of the store.
func (d *Directory) PeerStated(now time.Duration, s outage.State) { d.outages.Heard(now, s) }

// StoreState returns what this VM states to others of the store.
func (d *Directory) StoreState(now time.Duration) outage.State { return d.outages.State(now) }

// LeavesComplete records that the copy of the leaves was complete at a time. It must be called
// after the events that have made it complete are applied.
func (d *Directory) LeavesComplete(at time.Duration) {
	d.leavesCompleteAt = max(d.leavesCompleteAt, at)
}

// ApplyListing replaces all state of a kind by a listing.
func (d *Directory) ApplyListing(now time.Duration, kind Kind, events []Event) {
	switch kind {
	case KindLeaves:
		d.removeUnlisted(now, events)
	case KindEvacuations:
		d.removeEvacuations(now)
	case KindMembers:
		d.removeMembers(now, events)
	}
	for _, event := range events {
		d.ApplyChange(now, event)
	}
	if kind == KindMembers && d.restored(now) {
		d.unconfirmMembers(now)
	}
}

// ApplyChanges applies the changes of one answer of the store.
func (d *Directory) ApplyChanges(now time.Duration, events []Event) {
	for _, event := range events {
		d.ApplyChange(now, event)
	}
}

// ApplyChange applies one change.
func (d *Directory) ApplyChange(now time.Duration, event Event) {
	switch ev := event.(type) {
	case ConfigurationSet:
		if d.configuration == nil || ev.Configuration.Version > d.configuration.Version {
			d.configuration = ev.Configuration
		}
	case LeafSet:
		d.setLeaf(now, ev.Leaf)
	case LeafRemoved:
		d.removeLeaf(now, ev.ID)
	case Unreadable:
		d.drop(fleet.LeafID(ev.Name))
	case EvacuationSet:
		d.evacuated[ev.Zone] = true
		delete(d.heldZones, ev.Zone)
	case EvacuationRemoved:
		delete(d.evacuated, ev.Zone)
		delete(d.heldZones, ev.Zone)
	case MemberSet:
		if m, ok := d.members[ev.VM.Name]; !ok || m.refresh != ev.Refresh {
			d.members[ev.VM.Name] = member{vm: ev.VM, refresh: ev.Refresh, refreshedAt: now}
		}
	case MemberRemoved:
		delete(d.members, ev.VM)
	}
}

// Expire ends what grace periods have kept and returns the kinds that it has changed.
func (d *Directory) Expire(now time.Duration) []Kind {
	var changed []Kind
	if d.expireLeaves(now) {
		changed = append(changed, KindLeaves)
	}
	if d.expireEvacuations(now) {
		changed = append(changed, KindEvacuations)
	}
	return changed
}

// Configuration returns the active configuration, or nil before the first one.
func (d *Directory) Configuration() *fleet.Configuration { return d.configuration }

// Leaves returns the leaves in use. The map must not be changed.
func (d *Directory) Leaves() map[fleet.LeafID]fleet.Leaf { return d.leaves }

// Evacuated returns the zones that get no requests. The map must not be changed.
func (d *Directory) Evacuated() map[fleet.Zone]bool { return d.evacuated }

// Members returns the VMs that have refreshed their entries within memberLifetime.
// There are none before the first listing.
func (d *Directory) Members(now time.Duration) []delegation.VM {
	var out []delegation.VM
	for _, m := range d.members {
		if now-m.refreshedAt <= memberLifetime {
			out = append(out, m.vm)
		}
	}
	return out
}
