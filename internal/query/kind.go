package query

// Kind is the reason for which a request is sent to a leaf.
type Kind uint8

// Kinds of sends.
const (
	// KindFirst is the first request for a shard.
	KindFirst Kind = iota
	// KindCanary is a first request to a single shard; the fan-out starts when one has
	// got a reply.
	KindCanary
	// KindHedge is a second request while another one is still running, to
	// another leaf or, when no other leaf is warm, to the same one.
	KindHedge
	// KindRetry follows an attempt that failed and may have run.
	KindRetry
	// KindMove follows an attempt that is known not to have run. It adds no load to
	// upstreams beyond the first request.
	KindMove
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindFirst:
		return "first"
	case KindCanary:
		return "canary"
	case KindHedge:
		return "hedge"
	case KindRetry:
		return "retry"
	case KindMove:
		return "move"
	}
	return "unknown"
}
