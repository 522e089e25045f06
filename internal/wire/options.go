package wire

import (
	"github.com/rcrowley/go-metrics"

	"github.com/medlarswitch/medlarswitch/internal/panics"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
)

// Options configures the connections of one process.
type Options struct {
	Clock   *timeline.Clock
	Handler Handler
	Stats   *Stats
}

// Stats counts stray replies and dropped messages on the connections of one
// process.
type Stats struct {
	strayReplies metrics.Counter
	droppedSends metrics.Counter
	panics       *panics.Recorder
}

// NewStats registers the counters in r.
func NewStats(r metrics.Registry) *Stats {
	return &Stats{
		strayReplies: metrics.GetOrRegisterCounter("wire.stray_replies", r),
		droppedSends: metrics.GetOrRegisterCounter("wire.dropped_sends", r),
		panics:       panics.NewRecorder(r),
	}
}
