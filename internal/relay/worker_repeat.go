package relay

import (
	"context"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafqueue"
)

// handleRequest queues a request. A repeat is refused if its original request is
// not here: it has completed or was refused, or it went to another relay.
func (w *leafWorker) handleRequest(ctx context.Context, req *leafRequest) {
	w.requests[req.id] = req
	add := newAdd(req)
	if req.message.Repeat {
		add.RepeatOf = w.findOriginal(req)
		if add.RepeatOf == 0 {
			w.refuse(leafqueue.Refuse{ID: req.id, Reason: errs.ReasonCancelled})
			return
		}
	}
	w.step(ctx, add)
}

func newAdd(req *leafRequest) leafqueue.Add {
	return leafqueue.Add{ID: req.id, Priority: req.message.Priority, StartBy: req.startBy}
}

// findOriginal returns the ID of the request that a repeat belongs to, or 0. The
// snapshots are compared since a query that restarted on another snapshot may have
// left an earlier request here.
func (w *leafWorker) findOriginal(req *leafRequest) uint64 {
	for id, other := range w.requests {
		if id != req.id && other.message.RequestID == req.message.RequestID && other.snapshot == req.snapshot {
			return id
		}
	}
	return 0
}
