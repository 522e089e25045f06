package warmup

import "time"

func (t *Tracker) connectFailed(now time.Duration) {
	t.failedConnects++
	// A leaf that has closed a connection and accepts no new one has stopped.
	enough := t.failedConnects >= failedConnectsToDown || t.closed.unconfirmed()
	if !enough || t.state == Down || t.state == Leaving {
		return
	}
	t.setState(Down, "connection attempts failed")
	t.nextProbe = now + probeInterval
}

func (t *Tracker) probed(now time.Duration, ev Probed) {
	t.nextProbe = now + probeInterval
	if !ev.OK || t.boots.stale(ev.Boot) {
		return
	}
	if ev.ClosedCount < t.closed.total {
		t.nextProbe = now
	}
	t.closed.confirmed = max(t.closed.confirmed, ev.ClosedCount)
	switch adopted := t.boots.adopt(ev.Boot); {
	case t.state == Down:
		t.resetCold("probe succeeded")
	case adopted:
		t.demote("new boot ID")
	}
}

// report applies a report unless it is known to come from an earlier boot.
func (t *Tracker) report(now time.Duration, ev Report) {
	if t.boots.stale(ev.Boot) {
		return
	}
	t.loadCap = loadCap{load: ev.Load, expiry: now + reportTTL}
	switch {
	case ev.Leaving:
		t.markLeaving("reported as leaving", ev.Boot)
	case t.state == Leaving:
		t.endLeaving(ev.Boot)
	case t.boots.adopt(ev.Boot):
		t.demote("new boot ID")
	}
}

// markLeaving records the boot that is leaving. If the boot is unknown, a later
// report that the leaf is leaving supplies it.
func (t *Tracker) markLeaving(reason string, boot uint64) {
	if boot == 0 {
		boot = t.boots.current
	}
	if t.state != Leaving || boot != 0 {
		t.leavingBoot = boot
	}
	if t.state != Leaving {
		t.setState(Leaving, reason)
	}
}

// endLeaving ends the leaving state when another boot reports that it is not
// leaving. If the leaving boot is unknown, any report with a boot ID ends the
// state: if that is wrong, it costs one refusal, whereas waiting could exclude
// the leaf forever.
func (t *Tracker) endLeaving(boot uint64) {
	if boot == 0 || boot == t.leavingBoot {
		return
	}
	t.boots.adopt(boot)
	t.resetCold("new boot ID after leaving")
}
