package entry

import (
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// factsLifetime is how long the word of a relay counts after it was last
// heard; relays repeat their facts each second.
const factsLifetime = 4 * time.Second

// leafTable holds what relays last said about each leaf.
type leafTable struct {
	leaves map[topology.LeafID]map[topology.VMID]heardFacts
}

type heardFacts struct {
	facts message.LeafFacts
	at    time.Duration
}

func newLeafTable() *leafTable {
	return &leafTable{leaves: make(map[topology.LeafID]map[topology.VMID]heardFacts)}
}

// put stores a report and tells whether it says something new.
func (t *leafTable) put(now time.Duration, r *leafReport) bool {
	byVM, ok := t.leaves[r.facts.Leaf]
	if !ok {
		byVM = make(map[topology.VMID]heardFacts, 2)
		t.leaves[r.facts.Leaf] = byVM
	}
	old, known := byVM[r.from]
	byVM[r.from] = heardFacts{facts: r.facts, at: now}
	return !known || now-old.at > factsLifetime || !reflect.DeepEqual(old.facts, r.facts)
}

// get returns the latest word of the first of some relays that is fresh.
func (t *leafTable) get(now time.Duration, leaf topology.LeafID, owners []topology.VM) (message.LeafFacts, bool) {
	for _, vm := range owners {
		heard, ok := t.leaves[leaf][vm.ID]
		if ok && now-heard.at <= factsLifetime {
			return heard.facts, true
		}
	}
	return message.LeafFacts{}, false
}

// keepOnly forgets leaves that a topology does not name.
func (t *leafTable) keepOnly(top *topology.Topology) {
	for id := range t.leaves {
		if _, ok := top.Leaves[id]; !ok {
			delete(t.leaves, id)
		}
	}
}
