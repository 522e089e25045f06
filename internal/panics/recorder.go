package panics

import (
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// Recorder logs and counts panics. It is safe for concurrent use.
type Recorder struct{ count metrics.Counter }

// NewRecorder returns a recorder whose counter is panics_total in a registry.
func NewRecorder(registry metrics.Registry) *Recorder {
	return &Recorder{count: metrics.GetOrRegisterCounter("panics_total", registry)}
}

// Record records a panic in a step, with the stack of the current goroutine. It must be
// called by the goroutine that panicked. source names where the input came from, such
// as a request or a peer.
func (r *Recorder) Record(step, source string, value any) {
	r.count.Inc(1)
	klog.ErrorS(nil, "Panic", "step", step, "source", source, "panic", value, "stack", string(debug.Stack()))
}

// Count returns how many panics were recorded.
func (r *Recorder) Count() int64 { return r.count.Count() }

// Recover records a panic of the function that defers it, and then calls then, if it
// is set. It must be deferred directly.
func (r *Recorder) Recover(step, source string, then func()) {
	value := recover()
	if value == nil {
		return
	}
	r.Record(step, source, value)
	if then != nil {
		then()
	}
}
