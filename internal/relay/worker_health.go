package relay

import (
	"context"
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// baselineResolution is the step in which the warm latency is told to others.
const baselineResolution = time.Millisecond

// probeIfDue asks the leaf for its report in the background.
func (w *leafWorker) probeIfDue(ctx context.Context) {
	now := w.proc.Now()
	due := w.lastProbe == 0 || now-w.lastProbe >= probeInterval || w.reportOutdated || w.tracker.ProbeDue(now)
	if w.probing || !due {
		return
	}
	w.probing, w.reportOutdated = true, false
	w.lastProbe = now
	go func() {
		report, closed, err := w.client.probe(ctx)
		select {
		case w.inbox <- probeCompleted{report: report, closed: closed, err: err}:
		case <-ctx.Done():
		}
	}()
}

func (w *leafWorker) handleProbe(ev probeCompleted) {
	w.probing = false
	now := w.proc.Now()
	if ev.err != nil {
		w.recordTransitions(w.tracker.Step(now, warmup.ConnectFailed{}))
		w.recordTransitions(w.tracker.Step(now, warmup.Probed{OK: false}))
		return
	}
	r := ev.report
	w.recordTransitions(w.tracker.Step(now, warmup.Probed{OK: true, Boot: r.GetBootId(), ClosedCount: ev.closed}))
	w.recordTransitions(w.tracker.Step(now, warmup.Report{Boot: r.GetBootId(), Load: w.othersLoad(r.GetLoad()), Leaving: r.GetLeaving()}))
	w.reported.IndexVersions = r.GetIndexVersions()
	w.reported.PartitionGeneration = r.GetPartitionGeneration()
	w.reported.Boot = r.GetBootId()
	w.client.allowDial(ev.closed)
	// What other relays said before this relay knew the boot counts now.
	for _, said := range w.peerStates {
		w.applyPeerState(said)
	}
}

// othersLoad takes this relay's own requests out of the load that a leaf
// reports. Otherwise a relay that uses all slots would lower its own limit.
func (w *leafWorker) othersLoad(load float64) float64 {
	return max(load-float64(w.queue.Running())/float64(w.slots), 0)
}

// publishIfChanged publishes the leaf's facts when they changed.
func (w *leafWorker) publishIfChanged() {
	f := w.reported
	state := w.tracker.State()
	f.Leaf = w.leaf.ID
	f.State = string(state)
	f.Warm = state == warmup.Warm && w.inService
	reason := w.refusalReason()
	f.Usable = reason == "" && len(f.IndexVersions) > 0
	f.Reason = string(reason)
	f.Silent = w.tracker.Unresponsive(w.proc.Now())
	f.Baseline = w.roundedBaseline()
	f.FellBoot = w.tracker.DemotedBoot()
	if !reflect.DeepEqual(f, w.published) {
		w.published = f
		w.publish(f)
	}
}

// roundedBaseline rounds the warm latency, so that facts do not change with
// every reply.
func (w *leafWorker) roundedBaseline() time.Duration {
	latency, _ := w.tracker.MeasuredBaseline()
	if w.serving {
		latency, _ = w.tracker.EffectiveBaseline()
	}
	if latency == 0 {
		return 0
	}
	return max(latency.Round(baselineResolution), baselineResolution)
}

// applyPeerState takes over what another relay measured.
func (w *leafWorker) applyPeerState(ev peerLeafState) {
	w.peerStates[ev.from] = ev
	now := w.proc.Now()
	if !w.serving && ev.state.FellBoot != 0 {
		w.recordTransitions(w.tracker.Step(now, warmup.ColdElsewhere{Boot: ev.state.FellBoot}))
	}
	w.recordTransitions(w.tracker.Step(now, warmup.WarmElsewhere{Boot: ev.state.Boot, Baseline: ev.state.Baseline}))
}
