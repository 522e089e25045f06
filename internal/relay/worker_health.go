package relay

import (
	"context"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// baselineResolution is the resolution of the published warm latency.
const baselineResolution = time.Millisecond

// probeIfDue starts a probe in the background if one is due and none is running.
func (w *leafWorker) probeIfDue(ctx context.Context) {
	now := w.proc.Now()
	due := w.lastProbe == 0 || now-w.lastProbe >= probeInterval || w.reportOutdated || w.tracker.ProbeDue(now)
	if w.probing || !due {
		return
	}
	w.probing, w.reportOutdated = true, false
	w.lastProbe = now
	go func() {
		result := w.probeContained(ctx)
		select {
		case w.inbox <- result:
		case <-ctx.Done():
		}
	}()
}

// errProbePanicked is the error of a probe that caused a panic.
var errProbePanicked = errors.New("the probe caused a panic")

func (w *leafWorker) probeContained(ctx context.Context) (result probeCompleted) {
	defer w.proc.Panics.Recover("probe", string(w.leaf.ID), func() { result = probeCompleted{err: errProbePanicked} })
	report, closed, err := w.client.probe(ctx)
	return probeCompleted{report: report, closed: closed, err: err}
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
	// A status that another relay sent before this relay knew the leaf's boot ID
	// was not inherited, so it is applied again.
	for _, status := range w.peerStatuses {
		w.applyPeerStatus(status)
	}
}

// othersLoad returns the load that a leaf reports without this relay's own
// requests. Otherwise a relay that uses all slots would lower its own limit.
func (w *leafWorker) othersLoad(load float64) float64 {
	return max(load-float64(w.queue.Running())/float64(w.slots), 0)
}

// publishIfChanged publishes the leaf's status if it differs from the last
// published one.
func (w *leafWorker) publishIfChanged() {
	status := w.reported
	state := w.tracker.State()
	status.Leaf = w.leaf.ID
	status.State = string(state)
	status.Warm = state == warmup.Warm && w.inService
	reason := w.refusalReason()
	status.Usable = reason == "" && len(status.IndexVersions) > 0
	status.Reason = string(reason)
	status.Unresponsive = w.tracker.Unresponsive(w.proc.Now())
	status.Baseline = w.roundedBaseline()
	status.DemotedBoot = w.tracker.DemotedBoot()
	if !reflect.DeepEqual(status, w.published) {
		w.published = status
		w.publish(status)
	}
}

// roundedBaseline returns the warm latency, rounded so that the published status
// does not change with every reply. It is at least baselineResolution unless
// the latency is unknown. A relay that doesn't serve the leaf publishes only its
// own measurement and not one inherited from another relay.
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

// applyPeerStatus stores the status that another relay sent and applies the other
// relay's measurements to the warm-up tracker.
func (w *leafWorker) applyPeerStatus(ev peerLeafStatus) {
	w.peerStatuses[ev.from] = ev
	now := w.proc.Now()
	if !w.serving && ev.status.DemotedBoot != 0 {
		w.recordTransitions(w.tracker.Step(now, warmup.PeerReportedCold{Boot: ev.status.DemotedBoot}))
	}
	w.recordTransitions(w.tracker.Step(now, warmup.PeerReportedWarm{Boot: ev.status.Boot, Baseline: ev.status.Baseline}))
}
