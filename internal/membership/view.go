package membership

import (
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// suspectTimeout is how long a VM may send no message before it is suspect:
	// three heartbeats.
	suspectTimeout = 3 * time.Second
	// pauseThreshold is the time between two steps from which this process is
	// assumed to have been paused. During a pause it cannot receive messages of
	// peers.
	pauseThreshold = 1500 * time.Millisecond
)

// View is one agent's view of the VMs: the newest list and the state of each
// listed VM.
type View struct {
	self     topology.VMID
	list     topology.VMView
	members  map[topology.VMID]*Member
	lastStep time.Duration
	actions  []Action
}

// New returns the view of a VM that has just started, without a list.
func New(self topology.VMID) *View {
	return &View{self: self, members: map[topology.VMID]*Member{}}
}

// Step applies an event and returns the changes of the view.
func (v *View) Step(now time.Duration, ev Event) []Action {
	v.actions = nil
	v.excludePause(now)
	switch e := ev.(type) {
	case ListReceived:
		v.listReceived(now, e.View)
	case MessageReceived:
		v.messageReceived(now, e)
	}
	v.reportSuspects(now)
	return v.actions
}

// List returns the newest received version of the platform's list.
func (v *View) List() topology.VMView { return v.list }

// Member returns the state of a listed VM.
func (v *View) Member(id topology.VMID) (Member, bool) {
	m, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Alive returns the VMs of a zone that are listed and not suspect, in list
// order.
func (v *View) Alive(now time.Duration, zone topology.Zone) []topology.VM {
	v.excludePause(now)
	var out []topology.VM
	for _, vm := range v.list.InZone(zone) {
		if !v.Suspect(now, vm.ID) {
			out = append(out, vm)
		}
	}
	return out
}

// Suspect reports whether a listed VM has sent no message for suspectTimeout. The
// agent's own VM is never suspect.
func (v *View) Suspect(now time.Duration, id topology.VMID) bool {
	v.excludePause(now)
	m, ok := v.members[id]
	return ok && id != v.self && now-m.LastMessageAt >= suspectTimeout
}

// excludePause detects a pause of this process and does not count it as time
// without messages from peers. VMs that were suspect before the pause stay so.
func (v *View) excludePause(now time.Duration) {
	gap := now - v.lastStep
	v.lastStep = max(v.lastStep, now)
	if gap < pauseThreshold {
		return
	}
	for _, m := range v.members {
		if !m.Suspect {
			m.LastMessageAt += gap
		}
	}
}

// listReceived applies a list that is newer than the current one. An older list
// would restore VMs that no longer exist.
func (v *View) listReceived(now time.Duration, list topology.VMView) {
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
			v.reportJoined(m)
		}
	}
	v.removeUnlisted(previous, present)
}

func (v *View) reportJoined(m *Member) {
	if !m.Suspect {
		v.actions = append(v.actions, Joined{VM: m.VM})
	}
}

func (v *View) removeUnlisted(previous topology.VMView, present map[topology.VMID]bool) {
	for _, vm := range previous.VMs {
		if !present[vm.ID] {
			delete(v.members, vm.ID)
			v.actions = append(v.actions, Left{VM: vm.ID, Removed: true})
		}
	}
}

// messageReceived records a message from a VM. It ignores VMs that are not listed:
// they either no longer exist, or are new and will be listed soon.
func (v *View) messageReceived(now time.Duration, e MessageReceived) {
	m, ok := v.members[e.VM]
	if !ok {
		return
	}
	current, rebooted := m.recordMessage(now, e)
	if rebooted {
		v.actions = append(v.actions, Rebooted{VM: e.VM, Boot: e.Boot})
	}
	if current && m.Suspect {
		m.Suspect = false
		v.reportJoined(m)
	}
}

// reportSuspects reports VMs that have become suspect.
func (v *View) reportSuspects(now time.Duration) {
	for _, vm := range v.list.VMs {
		m := v.members[vm.ID]
		if !m.Suspect && v.Suspect(now, vm.ID) {
			m.Suspect = true
			v.actions = append(v.actions, Left{VM: vm.ID})
		}
	}
}
