package relay

import (
	"context"
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// baselineStep is the step in which the warm latency is told to others.
const baselineStep = time.Millisecond

// probeIfDue asks the leaf for its report in the background.
func (w *leafWorker) probeIfDue(ctx context.Context) {
	now := w.proc.Now()
	due := w.lastProbe == 0 || now-w.lastProbe >= probeInterval || w.outdated || w.tracker.ProbeDue(now)
	if w.probing || !due {
		return
	}
	w.probing, w.outdated = true, false
	w.lastProbe = now
	go func() {
		report, closed, err := w.client.probe(ctx)
		select {
		case w.inbox <- probeEnded{report: report, closed: closed, err: err}:
		case <-ctx.Done():
		}
	}()
}

func (w *leafWorker) probed(ev probeEnded) {
	w.probing = false
	now := w.proc.Now()
	if ev.err != nil {
		w.transitions(w.tracker.Step(now, warmup.ConnectFailed{}))
		w.transitions(w.tracker.Step(now, warmup.Probed{OK: false}))
		return
	}
	r := ev.report
	w.transitions(w.tracker.Step(now, warmup.Probed{OK: true, Boot: r.GetBootId(), ClosedCount: ev.closed}))
	w.transitions(w.tracker.Step(now, warmup.Report{Boot: r.GetBootId(), Load: w.othersLoad(r.GetLoad()), Leaving: r.GetLeaving()}))
	w.facts.IndexVersions = r.GetIndexVersions()
	w.facts.PartitionGeneration = r.GetPartitionGeneration()
	w.facts.Boot = r.GetBootId()
	w.client.check(ev.closed)
	// What other relays said before this relay knew the boot counts now.
	for _, said := range w.peerSaid {
		w.inherit(said)
	}
}

// othersLoad takes this relay's own requests out of the load that a leaf
// reports. Otherwise a relay that uses all slots would lower its own limit.
func (w *leafWorker) othersLoad(load float64) float64 {
	return max(load-float64(w.queue.Running())/float64(w.slots), 0)
}

// tell publishes the leaf's facts when they changed.
func (w *leafWorker) tell() {
	f := w.facts
	state := w.tracker.State()
	f.Leaf = w.leaf.ID
	f.State = string(state)
	f.Warm = state == warmup.Warm && w.open
	reason := w.unusable()
	f.Usable = reason == "" && len(f.IndexVersions) > 0
	f.Reason = string(reason)
	f.Unresponsive = w.tracker.Unresponsive(w.proc.Now())
	f.Baseline = w.roundBaseline()
	f.DemotedBoot = w.tracker.DemotedBoot()
	if !reflect.DeepEqual(f, w.told) {
		w.told = f
		w.publish(f)
	}
}

// roundBaseline rounds the warm latency, so that facts do not change with
// every reply.
func (w *leafWorker) roundBaseline() time.Duration {
	latency, _ := w.tracker.MeasuredBaseline()
	if w.serving {
		latency, _ = w.tracker.EffectiveBaseline()
	}
	if latency == 0 {
		return 0
	}
	return max(latency.Round(baselineStep), baselineStep)
}

// inherit takes over what another relay measured.
func (w *leafWorker) inherit(ev peerFacts) {
	w.peerSaid[ev.from] = ev
	now := w.proc.Now()
	if !w.serving && ev.facts.DemotedBoot != 0 {
		w.transitions(w.tracker.Step(now, warmup.ColdElsewhere{Boot: ev.facts.DemotedBoot}))
	}
	w.transitions(w.tracker.Step(now, warmup.WarmElsewhere{Boot: ev.facts.Boot, Baseline: ev.facts.Baseline}))
}
