package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/quarantine"
)

// lossProbeTimeout limits the dial that shows whether a leaf has ended: a round trip between
// zones and the work of a small VM. maxLossProbes limits the leaves that are dialed for one
// request.
const (
	lossProbeTimeout = 50 * time.Millisecond
	maxLossProbes    = 4
)

// fingerprint identifies the call by its method, host, target, body and the headers that are
// the same in each attempt of its caller. Its route may have another name in the next
// configuration.
func (n *Node) fingerprint(c *call) uint64 {
	lines := make([]string, 0, len(c.request.Header))
	for name, values := range c.request.Header {
		if !n.codec.DiffersPerAttempt(name) {
			lines = append(lines, name+": "+strings.Join(values, ", "))
		}
	}
	slices.Sort(lines)
	return quarantine.Fingerprint("", []byte(c.request.Method), []byte(c.request.Host), []byte(c.request.Target),
		[]byte(strings.Join(lines, "\n")), c.request.Body)
}

// lostAttempt is an attempt whose connection was lost after the request was sent.
type lostAttempt struct {
	attempt *attempt
	pool    *leafconn.Pool
	lostAt  time.Duration
}

// connectionLost reports whether an exchange failed since the leaf closed or reset the
// connection after the request was sent.
func connectionLost(err error) bool {
	var failure *leafconn.Error
	return errors.As(err, &failure) && failure.Sent && failure.ConnectionLost
}

// leafEnd is the end of a leaf while it ran a request.
type leafEnd struct{ startedAt, endedAt time.Duration }

// leafEnds returns which of the lost attempts were lost since their leaf ended. A
// connection that is reset alone shows nothing about its leaf, so the leaves are dialed:
// the port of one that has ended refuses connections. Attempts that overlap count once.
func (r *run) leafEnds() []leafEnd {
	results := make(chan *lostAttempt, maxLossProbes)
	probes := min(len(r.lost), maxLossProbes)
	ctx, cancel := context.WithTimeout(r.node.lifetime, lossProbeTimeout)
	defer cancel()
	for i := range probes {
		lost := &r.lost[i*len(r.lost)/probes]
		go func() {
			defer r.node.panics.Recover("loss-probe", r.call.info.RequestID, func() { results <- nil })
			if lost.pool.Probe(ctx) != leafconn.Ended {
				lost = nil
			}
			results <- lost
		}()
	}
	var ended []*lostAttempt
	for range probes {
		if lost := <-results; lost != nil {
			ended = append(ended, lost)
		}
	}
	slices.SortFunc(ended, func(a, b *lostAttempt) int { return cmp.Compare(a.lostAt, b.lostAt) })
	var out []leafEnd
	for _, lost := range ended {
		r.logLeafEnd(lost)
		if last := len(out) - 1; last < 0 || lost.attempt.startedAt >= out[last].endedAt {
			out = append(out, leafEnd{startedAt: lost.attempt.startedAt, endedAt: lost.lostAt})
		}
	}
	return out
}

func (r *run) logLeafEnd(lost *lostAttempt) {
	r.node.metrics.leavesEnded.Inc(1)
	klog.ErrorS(nil, "Leaf ended while it ran a request", "request", r.call.info.RequestID,
		"fingerprint", strconv.FormatUint(r.call.fingerprint, 16), "leaf", lost.attempt.leaf, "service", lost.attempt.service,
		"ran", lost.lostAt-lost.attempt.startedAt)
}
