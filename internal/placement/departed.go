package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// departedLifetime is how long the state of a leaf without an entry is kept. An entry
// that lapsed while the store was away is back within seconds of its return.
const departedLifetime = 10 * time.Minute

// departedLeaves are the leaves whose entries are missing. What this VM knows of them, also
// from replies that arrive meanwhile, still holds if the same process is registered again.
type departedLeaves map[fleet.LeafID]departedLeaf

type departedLeaf struct {
	leaf *leaf
	at   time.Duration
}

// keep adds the leaves that are not in the directory any more, and drops those whose time
// is over.
func (d departedLeaves) keep(now time.Duration, before map[fleet.LeafID]*leaf, listed map[fleet.LeafID]fleet.Leaf) {
	for id, gone := range d {
		if now-gone.at >= departedLifetime {
			delete(d, id)
		}
	}
	for id, l := range before {
		if _, ok := listed[id]; !ok {
			d[id] = departedLeaf{leaf: l, at: now}
		}
	}
}

// take removes and returns the leaf of an entry that is back, or nil if its process is
// not known.
func (d departedLeaves) take(now time.Duration, f fleet.Leaf) *leaf {
	gone, ok := d[f.ID]
	delete(d, f.ID)
	if !ok || gone.leaf.Started != f.Started || now-gone.at >= departedLifetime {
		return nil
	}
	// Requests that ended meanwhile were not recorded.
	gone.leaf.started = nil
	return gone.leaf
}
