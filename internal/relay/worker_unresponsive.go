package relay

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
)

// answerUnresponsive answers the searches that run in a leaf on probation once the
// leaf counts as unresponsive, so that their queries can still use another
// replica. Their slots stay occupied. An execution is not answered before its
// outcome is known.
func (w *leafWorker) answerUnresponsive(now time.Duration) {
	from, running := w.tracker.UnresponsiveFrom()
	if !w.tracker.OnProbation() || !running || now < from {
		return
	}
	for id := range w.running {
		req := w.requests[id]
		if req == nil || req.answered || req.message.Op != message.OpSearch {
			continue
		}
		req.answered = true
		err := errs.New(errs.StepLeafCall, string(w.leaf.ID), errs.ReasonNoReply, false, "no reply in time, as to the request before")
		w.proc.Events.Add(timeline.KindLeafFailed, req.message.RequestID, string(w.leaf.ID), err.Error())
		req.answer(failureReply(req, err))
	}
}
