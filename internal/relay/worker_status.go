package relay

import (
	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// updateStatus stores the leaf's status for operators. Only the worker's goroutine
// may call it; currentStatus may be called from any goroutine.
func (w *leafWorker) updateStatus() {
	limit := w.tracker.Limit(w.proc.Now()).InFlight
	if w.closeReason != "" {
		limit = 0
	}
	w.status.Store(&medlarv1.LeafStatus{
		Leaf: string(w.leaf.ID), State: string(w.tracker.State()), Reason: string(w.closeReason), Cause: w.tracker.Reason(),
		Limit: float64(limit), InFlight: uint32(w.queue.Running()), Queued: uint32(w.queue.Queued()),
	})
}

func (w *leafWorker) currentStatus() *medlarv1.LeafStatus { return w.status.Load() }
