package directory

import "time"

// removeMembers removes the members that a listing lacks. Those that a restored store lacks
// may have joined since the copy.
func (d *Directory) removeMembers(now time.Duration, events []Event) {
	if d.restored(now) {
		return
	}
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

// unconfirmMembers makes members expire that do not refresh their entries again.
func (d *Directory) unconfirmMembers(now time.Duration) {
	for vm, m := range d.members {
		m.refreshedAt = min(m.refreshedAt, now-memberLifetime+unconfirmedLifetime)
		d.members[vm] = m
	}
}
