package relay

import (
	"context"
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/warmup"
)

// probeIfDue asks the leaf for its report in the background.
func (w *leafWorker) probeIfDue(ctx context.Context) {
	now := w.proc.Now()
	due := w.lastProbe == 0 || now-w.lastProbe >= probeInterval || w.tracker.ProbeDue(now)
	if w.probing || !due {
		return
	}
	w.probing = true
	w.lastProbe = now
	go func() {
		report, err := w.client.probe(ctx)
		select {
		case w.inbox <- probeEnded{report: report, err: err}:
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
	w.transitions(w.tracker.Step(now, warmup.Probed{OK: true, Boot: r.GetBootId()}))
	w.transitions(w.tracker.Step(now, warmup.Report{Boot: r.GetBootId(), Load: r.GetLoad(), Leaving: r.GetLeaving()}))
	w.facts.IndexVersions = r.GetIndexVersions()
	w.facts.PartitionGeneration = r.GetPartitionGeneration()
	w.facts.Boot = r.GetBootId()
}

// tell publishes the leaf's facts when they changed.
func (w *leafWorker) tell() {
	now := w.proc.Now()
	f := w.facts
	state := w.tracker.State()
	f.Leaf = w.leaf.ID
	f.State = string(state)
	f.Warm = state == warmup.Warm && w.open
	f.Usable = w.open && w.usable(now, state) && len(f.IndexVersions) > 0
	f.Reason = w.reason(state)
	if !reflect.DeepEqual(f, w.facts) {
		w.facts = f
		w.publish(f)
	}
}

func (w *leafWorker) usable(now time.Duration, state warmup.State) bool {
	if state == warmup.Down || state == warmup.Leaving {
		return false
	}
	if !w.tracker.NeedsLease() {
		return true
	}
	_, held := w.leases.Held(now, w.leaf.ID)
	return held
}

// reason is why the leaf is not usable, as answers name it.
func (w *leafWorker) reason(state warmup.State) string {
	switch {
	case !w.open:
		return string(w.closedFor)
	case state == warmup.Down:
		return string(errs.ReasonDown)
	case state == warmup.Leaving:
		return string(errs.ReasonLeaving)
	case state == warmup.Cold:
		return string(errs.ReasonCold)
	default:
		return ""
	}
}

// inherit takes over what the owner of higher rank measured.
func (w *leafWorker) inherit(ev peerFacts) {
	_ = ev
}

// status is the leaf's state for operators. It is called by the worker.
func (w *leafWorker) currentFacts() message.LeafFacts { return w.facts }
