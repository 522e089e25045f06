package gateway

import (
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/peerfeed"
)

// maxChangesLogged is the greatest number of changes in one answer that are
// logged one by one.
const maxChangesLogged = 8

// apply applies changes to the directory and keeps them for other VMs.
func (n *Node) apply(kind directory.Kind, source feedsource.Source, changes objectfeed.Changes) {
	n.applyToDirectory(kind, source, changes)
	n.hub.Apply(peerfeed.Kind(kind), changes)
}

func (n *Node) applyToDirectory(kind directory.Kind, source feedsource.Source, changes objectfeed.Changes) {
	decoded := decodedChanges{revision: changes.Revision, isListing: changes.IsListing}
	for _, object := range changes.Objects {
		decoded.events = append(decoded.events, n.decode(kind, object)...)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if !source.IsStore() {
		n.directory.PeerAnswered(now, changes.Age, changes.Store)
	} else if n.directory.StoreAnswered(now) {
		klog.InfoS("Store available again after an outage, missing leaves remain in use for a while")
	}
	if decoded.isListing {
		n.directory.ApplyListing(now, kind, decoded.events)
	} else {
		n.directory.ApplyChanges(now, decoded.events)
	}
	if kind == directory.KindLeaves {
		n.directory.LeavesComplete(now - changes.Age)
	}
	logChanges(kind, decoded)
	if decoded.isListing || len(decoded.events) > 0 {
		n.propagate(kind)
	}
}

// decodedChanges holds the events of a listing or of changes.
type decodedChanges struct {
	revision  uint64
	isListing bool
	events    []directory.Event
}

// logChanges logs each change of the directory. A listing, or more than
// maxChangesLogged changes, gets one line.
func logChanges(kind directory.Kind, changes decodedChanges) {
	summarize := changes.isListing
	if summarize {
		klog.InfoS("Listed", "kind", kind, "revision", changes.revision, "objects", len(changes.events))
	}
	if !summarize && len(changes.events) > maxChangesLogged {
		klog.InfoS("Changed", "kind", kind, "revision", changes.revision, "objects", len(changes.events), "removed", countRemovedLeaves(changes))
		summarize = true
	}
	for _, event := range changes.events {
		if ev, ok := event.(directory.Unreadable); ok {
			klog.InfoS("Ignored an object that cannot be decoded", "kind", kind, "name", ev.Name, "err", ev.Err)
		} else if !summarize {
			logChange(changes.revision, event)
		}
	}
}

// countRemovedLeaves returns how many leaves the changes remove.
func countRemovedLeaves(changes decodedChanges) int {
	n := 0
	for _, event := range changes.events {
		if _, ok := event.(directory.LeafRemoved); ok {
			n++
		}
	}
	return n
}

func logChange(revision uint64, event directory.Event) {
	switch ev := event.(type) {
	case directory.ConfigurationSet:
		klog.InfoS("Configuration", "revision", revision, "version", ev.Configuration.Version, "routes", len(ev.Configuration.Routes))
	case directory.LeafSet:
		klog.InfoS("Leaf", "revision", revision, "leaf", ev.Leaf.ID, "service", ev.Leaf.Service, "zone", ev.Leaf.Zone,
			"leaving", ev.Leaf.Leaving, "coldFor", ev.Leaf.ColdFor, "started", ev.Leaf.Started)
	case directory.LeafRemoved:
		klog.InfoS("Leaf removed", "revision", revision, "leaf", ev.ID)
	case directory.EvacuationSet:
		klog.InfoS("Zone evacuated", "revision", revision, "zone", ev.Zone)
	case directory.EvacuationRemoved:
		klog.InfoS("Zone evacuation removed", "revision", revision, "zone", ev.Zone)
	}
}
