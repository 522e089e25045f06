package directory

import (
	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Kind is a kind of object in the store.
type Kind uint8

// Kinds that a VM follows.
const (
	KindConfiguration Kind = iota
	KindLeaves
	KindEvacuations
	KindMembers
)

// Kinds are all kinds.
var Kinds = []Kind{KindConfiguration, KindLeaves, KindEvacuations, KindMembers}

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"configuration", "leaves", "evacuations", "members"}[k]
}

// Event is a change of one object: ConfigurationSet, LeafSet, LeafRemoved,
// EvacuationSet, EvacuationRemoved, MemberSet, MemberRemoved or Unreadable.
type Event interface{ isEvent() }

// ConfigurationSet is a version of the configuration.
type ConfigurationSet struct{ Configuration *fleet.Configuration }

// LeafSet is the entry of a leaf.
type LeafSet struct{ Leaf fleet.Leaf }

// LeafRemoved is a leaf whose entry is gone.
type LeafRemoved struct{ ID fleet.LeafID }

// EvacuationSet asks for nothing more to be sent to the leaves of a zone.
type EvacuationSet struct{ Zone fleet.Zone }

// EvacuationRemoved ends an evacuation.
type EvacuationRemoved struct{ Zone fleet.Zone }

// MemberSet is the entry of a VM. Refresh changes each time the VM writes it.
type MemberSet struct {
	VM      delegation.VM
	Refresh uint64
}

// MemberRemoved is a VM that left.
type MemberRemoved struct{ VM string }

// Unreadable is an object that could not be understood. A leaf of that name is
// not used.
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
