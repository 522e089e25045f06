package warmup

import "time"

// WarmElsewhere says that another relay found the leaf warm. Without it a relay
// that takes over would treat every warm leaf as cold, and could not send to
// it while the relay that it takes over from does not acknowledge the lease.
type WarmElsewhere struct {
	// Boot is the leaf's boot ID that the other relay measured.
	Boot uint64
	// Baseline is the warm latency that it measured.
	Baseline time.Duration
}

// ColdElsewhere says that another relay saw the leaf of this boot ID fall to
// cold while this relay sends nothing to it.
type ColdElsewhere struct{ Boot uint64 }

func (WarmElsewhere) event() {}
func (ColdElsewhere) event() {}

// inherited takes over a warm state, but only of the boot that this relay's
// own reports show, and only while it has no measurements itself. A boot that
// has fallen to cold here is not inherited: the other relay may be idle and
// not know of it. A leaf that turned cold since shows it by slow replies, as
// it would at the other relay.
func (t *Tracker) inherited(ev WarmElsewhere) {
	measured := t.state != Cold || t.times.recent.set || t.inFlight > 0 || t.OnProbation()
	if measured || ev.Boot == 0 || ev.Boot != t.boots.current || ev.Baseline <= 0 || ev.Boot == t.fellBoot {
		return
	}
	t.level = t.cfg.Slots
	t.times.recent.add(ev.Baseline)
	t.times.lowest = ev.Baseline
	t.set(Warm, "found warm by another relay")
	t.times.warm()
	t.unproven = riseStreak
}

// fellElsewhere ends a warm state that is inherited or no longer measured.
func (t *Tracker) fellElsewhere(ev ColdElsewhere) {
	if t.state == Warm && t.inFlight == 0 && ev.Boot == t.boots.current {
		t.fallMeasured("found cold by another relay")
	}
}

// MeasuredBaseline returns the warm latency and the boot ID that it was measured for.
// It is 0 unless the leaf is warm by this relay's own measurements, so that
// two relays do not confirm each other's inherited state.
func (t *Tracker) MeasuredBaseline() (latency time.Duration, boot uint64) {
	if t.state != Warm || t.unproven > 0 {
		return 0, 0
	}
	return t.times.baseline.value, t.boots.current
}

// EffectiveBaseline is Baseline including an inherited state. A relay that serves the leaf
// may pass it on: its next replies confirm it or show the fall.
func (t *Tracker) EffectiveBaseline() (latency time.Duration, boot uint64) {
	if t.state != Warm {
		return 0, 0
	}
	return t.times.baseline.value, t.boots.current
}

// DemotedBoot returns the boot ID that last fell to cold by its behaviour, or 0.
func (t *Tracker) DemotedBoot() uint64 { return t.fellBoot }
