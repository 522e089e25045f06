package directory

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	// outageAfter is how long the store must have been failing for its return
	// to count as the end of an outage. A watch that is cut and resumed is none.
	outageAfter = 500 * time.Millisecond
	// quietOutage is a time without any answer that counts as an outage even if no
	// call has failed. Some call is answered each CheckInterval.
	quietOutage = CheckInterval + 700*time.Millisecond
	// lapsedTogether is the share of the leaves whose entries do not go at once but
	// by an outage of the store. A planned stop takes away a few at a time.
	lapsedTogether = 0.25
	// returnGrace is how long a leaf whose entry is missing after an outage stays
	// in use. The platform promises that entries of living leaves are back within
	// about two seconds of the store's return.
	returnGrace = 2200 * time.Millisecond
	// memberLifetime is how long a member counts without refreshing its entry:
	// three refresh periods.
	memberLifetime = 3 * MemberRefresh
)

// CheckInterval is the longest time between two answers of the store while it is
// reachable.
const CheckInterval = 2500 * time.Millisecond

// MemberRefresh is the time between two refreshes of a member entry.
const MemberRefresh = 2 * time.Minute

// Directory is what one VM knows. It is not safe for concurrent use.
type Directory struct {
	configuration *fleet.Configuration
	leaves        map[fleet.LeafID]fleet.Leaf
	// lapsed holds until when leaves that went missing in an outage are in use.
	lapsed    map[fleet.LeafID]time.Duration
	evacuated map[fleet.Zone]bool
	members   map[string]member

	// failingSince is when the store stopped answering; away is true since then.
	failingSince time.Duration
	away         bool
	// answeredAt is when the store last answered, if answered is true.
	answeredAt time.Duration
	answered   bool
	// graceUntil is until when missing leaves count as lapsed.
	graceUntil time.Duration
}

type member struct {
	vm      delegation.VM
	refresh uint64
	seen    time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		leaves:    make(map[fleet.LeafID]fleet.Leaf),
		lapsed:    make(map[fleet.LeafID]time.Duration),
		evacuated: make(map[fleet.Zone]bool),
		members:   make(map[string]member),
	}
}

// StoreFailed takes in that a call of any kind failed.
func (d *Directory) StoreFailed(now time.Duration) {
	if !d.away {
		d.away = true
		d.failingSince = now
	}
}

// StoreAnswered takes in that a call of any kind succeeded. It must come before
// the events of that call. It reports whether an outage ended. The watch of the
// leaves alone would not tell: it may wait through an outage and then hear at
// once that entries have lapsed.
func (d *Directory) StoreAnswered(now time.Duration) bool {
	failed := d.away && now-d.failingSince >= outageAfter
	quiet := d.answered && now-d.answeredAt >= quietOutage
	ended := failed || quiet
	d.away, d.answered = false, true
	d.answeredAt = now
	if ended {
		d.graceUntil = now + returnGrace
	}
	return ended
}

// ApplyListing replaces everything known of a kind.
func (d *Directory) ApplyListing(now time.Duration, kind Kind, events []Event) {
	switch kind {
	case KindLeaves:
		d.removeUnlisted(now, events)
	case KindEvacuations:
		clear(d.evacuated)
	case KindMembers:
		d.removeMembers(events)
	}
	for _, event := range events {
		d.ApplyChange(now, event)
	}
}

// ApplyChanges takes in the changes of one answer.
func (d *Directory) ApplyChanges(now time.Duration, events []Event) {
	removed := 0
	for _, event := range events {
		if ev, ok := event.(LeafRemoved); ok && !d.leaves[ev.ID].Leaving {
			removed++
		}
	}
	d.noteLapse(now, removed)
	for _, event := range events {
		d.ApplyChange(now, event)
	}
}

// noteLapse begins a grace when the entries of many leaves are gone at once.
func (d *Directory) noteLapse(now time.Duration, removed int) {
	if removed > 1 && float64(removed) >= lapsedTogether*float64(len(d.leaves)) {
		d.graceUntil = max(d.graceUntil, now+returnGrace)
	}
}

// ApplyChange takes in one change.
func (d *Directory) ApplyChange(now time.Duration, event Event) {
	switch ev := event.(type) {
	case ConfigurationSet:
		if d.configuration == nil || ev.Configuration.Version > d.configuration.Version {
			d.configuration = ev.Configuration
		}
	case LeafSet:
		d.leaves[ev.Leaf.ID] = ev.Leaf
		delete(d.lapsed, ev.Leaf.ID)
	case LeafRemoved:
		d.removeLeaf(now, ev.ID)
	case Unreadable:
		d.drop(fleet.LeafID(ev.Name))
	case EvacuationSet:
		d.evacuated[ev.Zone] = true
	case EvacuationRemoved:
		delete(d.evacuated, ev.Zone)
	case MemberSet:
		if m, ok := d.members[ev.VM.Name]; !ok || m.refresh != ev.Refresh {
			d.members[ev.VM.Name] = member{vm: ev.VM, refresh: ev.Refresh, seen: now}
		}
	case MemberRemoved:
		delete(d.members, ev.VM)
	}
}

// Expire ends the grace of lapsed leaves and reports whether any was dropped.
func (d *Directory) Expire(now time.Duration) bool {
	dropped := false
	for id, until := range d.lapsed {
		if now >= until {
			d.drop(id)
			dropped = true
		}
	}
	return dropped
}

// Configuration returns the version in force, or nil.
func (d *Directory) Configuration() *fleet.Configuration { return d.configuration }

// Leaves returns the leaves in use. The map must not be changed.
func (d *Directory) Leaves() map[fleet.LeafID]fleet.Leaf { return d.leaves }

// Evacuated returns the zones that get no requests. The map must not be changed.
func (d *Directory) Evacuated() map[fleet.Zone]bool { return d.evacuated }

// Members returns the VMs that refreshed their entry lately, none before the
// first listing.
func (d *Directory) Members(now time.Duration) []delegation.VM {
	var out []delegation.VM
	for _, m := range d.members {
		if now-m.seen <= memberLifetime {
			out = append(out, m.vm)
		}
	}
	return out
}

func (d *Directory) removeUnlisted(now time.Duration, events []Event) {
	listed := make(map[fleet.LeafID]bool, len(events))
	for _, event := range events {
		if ev, ok := event.(LeafSet); ok {
			listed[ev.Leaf.ID] = true
		}
	}
	missing := 0
	for id, leaf := range d.leaves {
		if !listed[id] && !leaf.Leaving {
			missing++
		}
	}
	d.noteLapse(now, missing)
	for id := range d.leaves {
		if !listed[id] {
			d.removeLeaf(now, id)
		}
	}
}

func (d *Directory) removeMembers(events []Event) {
	listed := make(map[string]bool, len(events))
	for _, event := range events {
		if ev, ok := event.(MemberSet); ok {
			listed[ev.VM.Name] = true
		}
	}
	for vm := range d.members {
		if !listed[vm] {
			delete(d.members, vm)
		}
	}
}

// removeLeaf drops a leaf, or marks it as lapsed while an outage explains why
// its entry is missing.
func (d *Directory) removeLeaf(now time.Duration, id fleet.LeafID) {
	leaf, known := d.leaves[id]
	if !known || leaf.Leaving || now >= d.graceUntil {
		d.drop(id)
		return
	}
	if _, ok := d.lapsed[id]; !ok {
		d.lapsed[id] = d.graceUntil
	}
}

func (d *Directory) drop(id fleet.LeafID) {
	delete(d.leaves, id)
	delete(d.lapsed, id)
}
