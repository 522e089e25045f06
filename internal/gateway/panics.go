package gateway

import (
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/query"
)

// errPanicked is the error of an attempt whose goroutine panicked. The request may have
// run.
var errPanicked = errors.New("internal error")

// errStateInDoubt is the error with which a node stops after a panic while shared state
// was being changed.
var errStateInDoubt = errors.New("the state may be inconsistent after a panic")

// recoverRequest answers a caller whose request caused a panic with 500, which does not
// say whether the request ran. It must be deferred directly.
func (n *Node) recoverRequest(w *startedWriter, info *RequestInfo) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	n.panics.Record("request", info.RequestID, value)
	n.metrics.failed.Inc(1)
	if w.started {
		// Closes the connection, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
	// The headers may be half set for another answer.
	clear(w.Header())
	n.codec.SetRefusalHeader(w.Header(), info.RequestID, 0)
	http.Error(w, "internal error", http.StatusInternalServerError)
}

// recoverAttempt completes an attempt whose goroutine panicked as one that may have run.
// It must be deferred directly.
func (r *run) recoverAttempt(a *attempt) {
	if value := recover(); value != nil {
		r.node.panics.Record("attempt", r.call.info.RequestID, value)
		r.results <- result{attempt: a, err: &leafconn.Error{Step: leafconn.StepRead, Sent: true, ConnectionLost: true, Err: errPanicked}}
	}
}

// recoverStep ends a call whose query machine panicked. The machine belongs to this call
// alone, so that other calls go on. It must be deferred directly.
func (r *run) recoverStep(actions *[]query.Action) {
	value := recover()
	if value == nil {
		return
	}
	r.node.panics.Record("query", r.call.info.RequestID, value)
	for _, a := range r.attempts {
		a.cancel()
	}
	r.mayHaveRun = r.mayHaveRun || len(r.attempts) > 0
	r.merged = nil
	*actions = []query.Action{query.Finish{Answer: query.Answer{Err: errs.ReasonInternal}}}
}

// decode decodes an object of the store. One that causes a panic is unreadable: all VMs
// read it again after a restart.
func (n *Node) decode(kind directory.Kind, object objectfeed.Object) (events []directory.Event) {
	defer func() {
		if value := recover(); value != nil {
			n.panics.Record("decode", object.Name, value)
			events = []directory.Event{directory.Unreadable{Name: object.Name, Err: errors.Errorf("panic: %v", value)}}
		}
	}()
	return n.store.Decode(kind, object)
}

// markInDoubt makes the node refuse further requests and stop.
func (n *Node) markInDoubt(value any) {
	if !n.inDoubt.Swap(true) {
		klog.ErrorS(errStateInDoubt, "Stopping", "panic", value)
		close(n.doubt)
	}
}

// runDuty runs a duty of the node in this goroutine. A duty changes shared state, so
// that the node stops after a panic in it.
func (n *Node) runDuty(name string, duty func()) {
	defer n.panics.Recover(name, n.config.VM, func() { n.markInDoubt(name) })
	duty()
}
