package directory

import (
	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Kind is a kind of object in the store.
type Kind uint8

// Kinds of objects that a VM watches.
const (
	KindConfiguration Kind = iota
	KindLeaves
	KindEvacuations
	KindMembers
)

// Kinds lists all kinds.
var Kinds = []Kind{KindConfiguration, KindLeaves, KindEvacuations, KindMembers}

// String returns the name of the kind, as used in logs.
func (k Kind) String() string {
	return [...]string{"configuration", "leaves", "evacuations", "members"}[k]
}

// Event is a change of one object: ConfigurationSet, LeafSet, LeafRemoved,
// EvacuationSet, EvacuationRemoved, MemberSet, MemberRemoved or Unreadable.
type Event interface{ isEvent() }

// ConfigurationSet reports a version of the configuration.
type ConfigurationSet struct{ Configuration *fleet.Configuration }

// LeafSet reports a new or changed entry of a leaf.
type LeafSet struct{ Leaf fleet.Leaf }

// LeafRemoved reports that the entry of a leaf was removed or has expired.
type LeafRemoved struct{ ID fleet.LeafID }

// EvacuationSet reports that the leaves of a zone are to get no more requests.
type EvacuationSet struct{ Zone fleet.Zone }

// EvacuationRemoved reports the end of an evacuation.
type EvacuationRemoved struct{ Zone fleet.Zone }

// MemberSet reports the entry of a VM. Refresh changes each time the VM writes the
// entry.
type MemberSet struct {
	VM      delegation.VM
	Refresh uint64
}

// MemberRemoved reports that the entry of a VM was removed.
type MemberRemoved struct{ VM string }

// Unreadable reports an object that could not be decoded. A leaf of that name is not
// used.
type Unreadable struct {
	Name string
	Err  error
}

func (ConfigurationSet) isEvent()  {}
func (LeafSet) isEvent()           {}
func (LeafRemoved) isEvent()       {}
func (EvacuationSet) isEvent()     {}
func (EvacuationRemoved) isEvent() {}
func (MemberSet) isEvent()         {}
func (MemberRemoved) isEvent()     {}
func (Unreadable) isEvent()        {}
