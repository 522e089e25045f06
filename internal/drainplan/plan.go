package drainplan

import "time"

const (
	// answerMargin is the time to write the answers of all requests that end together, on a
	// VM with a small share of a core.
	answerMargin = 200 * time.Millisecond
	// leafMargin is how much earlier than the VM leaves stop to work on requests, so that
	// their last replies arrive: a round trip between zones and the work of a busy VM.
	leafMargin = 50 * time.Millisecond
)

// Plan is the plan of one stop.
type Plan struct{ end time.Duration }

// New returns the plan of a stop that must have written all answers at a given time.
func New(answered time.Duration) Plan { return Plan{end: answered - answerMargin} }

// End returns when running requests are ended.
func (p Plan) End() time.Duration { return p.end }

// LeafEnd returns when leaves should stop to work on requests.
func (p Plan) LeafEnd() time.Duration { return p.end - leafMargin }

// Serves reports whether a request or one step of it, which began at the given time and is
// expected to take the given time, completes before the end. Zero means that nothing is
// known of its duration.
func (p Plan) Serves(began, expected time.Duration) bool { return began+expected < p.end }
