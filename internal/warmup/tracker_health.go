package warmup

import "time"

func (t *Tracker) connectFailed(now time.Duration) {
	t.failed++
	// A leaf that has closed a connection and cannot be reached has stopped.
	enough := t.failed >= downStreak || t.closing.unchecked()
	if !enough || t.state == Down || t.state == Leaving {
		return
	}
	t.set(Down, "connection attempts failed")
	t.nextProbe = now + probeInterval
}

func (t *Tracker) probed(now time.Duration, ev Probed) {
	t.nextProbe = now + probeInterval
	if !ev.OK || t.boots.stale(ev.Boot) {
		return
	}
	if ev.ClosedCount < t.closing.seen {
		t.nextProbe = now
	}
	t.closing.probed = max(t.closing.probed, ev.ClosedCount)
	switch adopted := t.boots.adopt(ev.Boot); {
	case t.state == Down:
		t.cold("probe succeeded")
	case adopted:
		t.fall("new boot ID")
	}
}

// report takes in a report unless it is known to be from an earlier boot.
func (t *Tracker) report(now time.Duration, ev Report) {
	if t.boots.stale(ev.Boot) {
		return
	}
	t.cap = loadCap{load: ev.Load, until: now + reportTTL}
	switch {
	case ev.Leaving:
		t.leave("reported as leaving", ev.Boot)
	case t.state == Leaving:
		t.returned(ev.Boot)
	case t.boots.adopt(ev.Boot):
		t.fall("new boot ID")
	}
}

// leave records the boot that leaves. An unknown one is filled in by a later
// report that says so.
func (t *Tracker) leave(reason string, boot uint64) {
	if boot == 0 {
		boot = t.boots.current
	}
	if t.state != Leaving || boot != 0 {
		t.leavingBoot = boot
	}
	if t.state != Leaving {
		t.set(Leaving, reason)
	}
}

// returned ends Leaving when another boot reports that it is not leaving. If
// the leaving boot is unknown, any report counts: a wrong guess costs one
// refusal, while the other choice could keep the leaf out forever.
func (t *Tracker) returned(boot uint64) {
	if boot == 0 || boot == t.leavingBoot {
		return
	}
	t.boots.adopt(boot)
	t.cold("new boot ID after leaving")
}
