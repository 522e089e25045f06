package warmup

import "time"

// PeerReportedWarm reports that another relay found the leaf warm. Without this
// event, a relay that takes over a warm leaf would treat it as cold, and could not
// send to it until the previous relay acknowledged the lease.
type PeerReportedWarm struct {
	// Boot is the boot ID of the leaf that the other relay measured.
	Boot uint64
	// Baseline is the latency that the other relay measured while the leaf was
	// warm.
	Baseline time.Duration
}

// PeerReportedCold reports that another relay demoted the leaf with this boot ID
// to cold. It demotes the leaf here too, if it is warm, has the same boot ID, and
// has no request of this relay in flight.
type PeerReportedCold struct{ Boot uint64 }

func (PeerReportedWarm) event() {}
func (PeerReportedCold) event() {}

// peerReportedWarm inherits the warm state only for the boot ID that this relay
// last received from the leaf, and only while this relay has no observations of
// its own: no measurements, no request in flight and no probation. It does not
// inherit the state of a boot that this relay has demoted: the other relay may be
// idle and unaware of the demotion. If the leaf has turned cold since, its slow
// replies show it here as they would at the other relay.
func (t *Tracker) peerReportedWarm(ev PeerReportedWarm) {
	observed := t.state != Cold || t.latencies.recent.initialized || t.inFlight > 0 || t.OnProbation()
	if observed || ev.Boot == 0 || ev.Boot != t.boots.current || ev.Baseline <= 0 || ev.Boot == t.demotedBoot {
		return
	}
	t.level = t.cfg.Slots
	t.latencies.recent.add(ev.Baseline)
	t.latencies.lowest = ev.Baseline
	t.setState(Warm, "found warm by another relay")
	t.latencies.initBaseline()
	t.repliesToConfirm = goodRepliesPerStep
}

// peerReportedCold demotes a warm leaf to which this relay has no request in
// flight. With a request in flight, this relay measures the leaf itself.
func (t *Tracker) peerReportedCold(ev PeerReportedCold) {
	if t.state == Warm && t.inFlight == 0 && ev.Boot == t.boots.current {
		t.demoteBoot("found cold by another relay")
	}
}

// MeasuredBaseline returns the latency of the warm leaf and the boot ID that it
// was measured for. It returns zeros unless this relay's own measurements show
// the leaf to be warm, so that two relays cannot confirm each other's inherited
// state.
func (t *Tracker) MeasuredBaseline() (latency time.Duration, boot uint64) {
	if t.state != Warm || t.repliesToConfirm > 0 {
		return 0, 0
	}
	return t.latencies.baseline.value, t.boots.current
}

// EffectiveBaseline is like MeasuredBaseline but includes an inherited state. A
// relay that serves the leaf may pass it on, since its next replies either
// confirm the state or demote the leaf.
func (t *Tracker) EffectiveBaseline() (latency time.Duration, boot uint64) {
	if t.state != Warm {
		return 0, 0
	}
	return t.latencies.baseline.value, t.boots.current
}

// DemotedBoot returns the boot ID that the leaf had when it was last demoted for a
// reason other than a new boot ID, or 0.
func (t *Tracker) DemotedBoot() uint64 { return t.demotedBoot }
