package directory

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// keepUntil returns until when a leaf whose entry is missing stays in use. completeAt is when
// the copy that had the entry was last known to be complete: the entry was removed after that.
func (d *Directory) keepUntil(completeAt time.Duration) time.Duration {
	grace := d.outages.Grace()
	return max(grace.Until, d.restoreGraceUntil, min(grace.SuspectedUntil, completeAt+maxSuspectedUse))
}

// expireLeaves drops missing leaves whose grace period has ended, and lets leaves that were
// overridden be as their entries state. It reports whether any leaf has changed.
func (d *Directory) expireLeaves(now time.Duration) bool {
	changed := false
	for id, completeAt := range d.missing {
		if now >= d.keepUntil(completeAt) {
			d.drop(id)
			changed = true
		}
	}
	for id, departed := range d.departed {
		if now-departed.at >= departedLifetime {
			delete(d.departed, id)
		}
	}
	if !d.restored(now) {
		for id, leaf := range d.overridden {
			d.leaves[id] = leaf
			changed = true
		}
		clear(d.overridden)
	}
	return changed
}

func (d *Directory) removeUnlisted(now time.Duration, events []Event) {
	listed := make(map[fleet.LeafID]bool, len(events))
	for _, event := range events {
		if ev, ok := event.(LeafSet); ok {
			listed[ev.Leaf.ID] = true
		}
	}
	for id := range d.leaves {
		if !listed[id] {
			d.removeLeaf(now, id)
		}
	}
}

// setLeaf sets the entry of a leaf. In a restored store the entry may be older than the
// leaf's end or the start of its leaving.
func (d *Directory) setLeaf(now time.Duration, leaf fleet.Leaf) {
	known, ok := d.leaves[leaf.ID]
	left := ok && known.Leaving && known.Started == leaf.Started
	if departed, ok := d.departed[leaf.ID]; ok && departed.started == leaf.Started {
		left = true
	}
	delete(d.overridden, leaf.ID)
	if left && !leaf.Leaving && d.restored(now) {
		d.overridden[leaf.ID] = leaf
		leaf.Leaving = true
	}
	if !d.restored(now) {
		delete(d.departed, leaf.ID)
	}
	d.leaves[leaf.ID] = leaf
	delete(d.missing, leaf.ID)
}

// removeLeaf drops a leaf. After an outage of the store it marks the leaf as missing instead,
// unless the leaf was leaving.
func (d *Directory) removeLeaf(now time.Duration, id fleet.LeafID) {
	leaf, known := d.leaves[id]
	if !known || leaf.Leaving || now >= d.keepUntil(d.leavesCompleteAt) {
		if known {
			d.departed[id] = departedLeaf{started: leaf.Started, at: now}
		}
		d.drop(id)
		return
	}
	if _, ok := d.missing[id]; !ok {
		d.missing[id] = d.leavesCompleteAt
	}
}

func (d *Directory) drop(id fleet.LeafID) {
	delete(d.leaves, id)
	delete(d.missing, id)
	delete(d.overridden, id)
}
