package membership

import (
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// silence is how long a VM may be unheard before it is suspect: three
	// heartbeats.
	silence = 3 * time.Second
	// pauseLimit is the time between two events from which this process
	// itself was paused. Peers' silence during a pause says nothing.
	pauseLimit = 1500 * time.Millisecond
)

// View is what one agent knows of the VMs.
type View struct {
	self    topology.VMID
	list    topology.VMView
	members map[topology.VMID]*Member
	last    time.Duration
	out     []Action
}

// New returns the view of a VM that has just started.
func New(self topology.VMID) *View {
	return &View{self: self, members: map[topology.VMID]*Member{}}
}

// Step takes an event in and returns what has changed.
func (v *View) Step(now time.Duration, ev Event) []Action {
	v.out = nil
	v.advance(now)
	switch e := ev.(type) {
	case ListReceived:
		v.listed(now, e.View)
	case MessageReceived:
		v.heard(now, e)
	}
	v.suspect(now)
	return v.out
}

// List returns the newest version of the platform's list.
func (v *View) List() topology.VMView { return v.list }

// Member returns a listed VM.
func (v *View) Member(id topology.VMID) (Member, bool) {
	m, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Alive returns the VMs of a zone that are listed and not silent, in list
// order.
func (v *View) Alive(now time.Duration, zone topology.Zone) []topology.VM {
	v.advance(now)
	var out []topology.VM
	for _, vm := range v.list.InZone(zone) {
		if !v.Suspect(now, vm.ID) {
			out = append(out, vm)
		}
	}
	return out
}

// Suspect reports whether a listed VM is silent. This VM never is.
func (v *View) Suspect(now time.Duration, id topology.VMID) bool {
	v.advance(now)
	m, ok := v.members[id]
	return ok && id != v.self && now-m.LastMessageAt >= silence
}

// advance takes the time of a pause of this process out of the silence of
// peers that were heard before it.
func (v *View) advance(now time.Duration) {
	gap := now - v.last
	v.last = max(v.last, now)
	if gap < pauseLimit {
		return
	}
	for _, m := range v.members {
		if !m.Suspect {
			m.LastMessageAt += gap
		}
	}
}

// listed takes a list in. Versions only rise; an older list would bring back
// VMs that are gone.
func (v *View) listed(now time.Duration, list topology.VMView) {
	if list.Version <= v.list.Version {
		return
	}
	previous := v.list
	v.list = list
	present := make(map[topology.VMID]bool, len(list.VMs))
	for _, vm := range list.VMs {
		present[vm.ID] = true
		m, ok := v.members[vm.ID]
		if !ok {
			m = &Member{LastMessageAt: now}
			v.members[vm.ID] = m
		}
		if !reflect.DeepEqual(m.VM, vm) {
			m.VM = vm
			v.joined(m)
		}
	}
	v.drop(previous, present)
}

func (v *View) joined(m *Member) {
	if !m.Suspect {
		v.out = append(v.out, Joined{VM: m.VM})
	}
}

func (v *View) drop(previous topology.VMView, present map[topology.VMID]bool) {
	for _, vm := range previous.VMs {
		if !present[vm.ID] {
			delete(v.members, vm.ID)
			v.out = append(v.out, Left{VM: vm.ID, Removed: true})
		}
	}
}

// heard takes a report in. A VM that isn't listed is gone, or new and listed
// soon.
func (v *View) heard(now time.Duration, e MessageReceived) {
	m, ok := v.members[e.VM]
	if !ok {
		return
	}
	current, rebooted := m.hear(now, e)
	if rebooted {
		v.out = append(v.out, Rebooted{VM: e.VM, Boot: e.Boot})
	}
	if current && m.Suspect {
		m.Suspect = false
		v.joined(m)
	}
}

// suspect reports VMs that have fallen silent.
func (v *View) suspect(now time.Duration) {
	for _, vm := range v.list.VMs {
		m := v.members[vm.ID]
		if !m.Suspect && v.Suspect(now, vm.ID) {
			m.Suspect = true
			v.out = append(v.out, Left{VM: vm.ID})
		}
	}
}
