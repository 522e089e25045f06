package gateway

import (
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
)

// maxChangesLogged is the number of changes in one answer of the store that are
// logged one by one.
const maxChangesLogged = 8

// apply brings changes into force. all is true for a complete listing.
func (n *Node) apply(kind directory.Kind, changes Changes, all bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.directory.StoreAnswered(now) {
		klog.InfoS("The store is back after an outage, missing leaves stay in use for a while")
	}
	if all {
		n.directory.Listed(now, kind, changes.Events)
	} else {
		n.directory.ChangedTogether(now, changes.Events)
	}
	logChanges(kind, changes, all)
	if all || len(changes.Events) > 0 {
		n.refresh(kind)
	}
}

// logChanges writes one line per change of what this VM believes. A listing is
// one line.
func logChanges(kind directory.Kind, changes Changes, all bool) {
	if all {
		klog.InfoS("Listed", "kind", kind, "revision", changes.Revision, "objects", len(changes.Events))
	}
	if !all && len(changes.Events) > maxChangesLogged {
		klog.InfoS("Changed", "kind", kind, "revision", changes.Revision, "objects", len(changes.Events), "removed", removed(changes))
		all = true
	}
	for _, event := range changes.Events {
		if ev, ok := event.(directory.Unreadable); ok {
			klog.InfoS("Ignored an object that cannot be read", "kind", kind, "name", ev.Name, "err", ev.Err)
		} else if !all {
			logChange(changes.Revision, event)
		}
	}
}

// removed is how many leaves changes remove.
func removed(changes Changes) int {
	n := 0
	for _, event := range changes.Events {
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
		klog.InfoS("Zone out", "revision", revision, "zone", ev.Zone)
	case directory.EvacuationRemoved:
		klog.InfoS("Zone in", "revision", revision, "zone", ev.Zone)
	}
}
