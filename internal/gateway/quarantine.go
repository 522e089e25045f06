package gateway

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/quarantine"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const (
	// crashThreshold is the number of leaves that end one after the other, while they run a
	// request that no leaf has replied to, after which the request is refused. Two can be a
	// coincidence while leaves crash for other reasons.
	crashThreshold = 3
	// crashSpan is the least time from the first of them to the last while other requests of
	// the route get replies, outageSpan while none does and all leaves may be failing. In
	// it a request that many callers send gets a reply.
	crashSpan  = 250 * time.Millisecond
	outageSpan = 2 * time.Second
	// quarantineTime is how long a request stays refused after the last leaf that it
	// crashed. Its caller may repeat it for as long as the leaves' software is unchanged.
	quarantineTime = time.Hour
	// maxRunCrashes is the number of leaves that a request may crash, one after the other,
	// before it is given up; of a canary, maxCanaryCrashes.
	maxRunCrashes    = 2
	maxCanaryCrashes = 1
)

func newQuarantine(origin uint64) *quarantine.Table {
	return quarantine.New(quarantine.Config{
		LossThreshold: crashThreshold, MinSpan: crashSpan, MaxSpan: outageSpan, SuspectBlocked: true, RepliesClear: true, LossTTL: quarantineTime, Origin: origin,
	})
}

// refuseQuarantined answers a call that crashes leaves and reports whether it is one.
func (n *Node) refuseQuarantined(w http.ResponseWriter, c *call) bool {
	n.mu.Lock()
	left := n.quarantine.BlockedFor(n.now(), c.fingerprint)
	n.mu.Unlock()
	if left == 0 {
		return false
	}
	n.metrics.quarantined.Inc(1)
	n.refuse(w, c.info, http.StatusServiceUnavailable, left, "this request has crashed upstreams")
	return true
}

// needsCanary reports whether a call must get a reply of one leaf before it is sent to
// others.
func (n *Node) needsCanary(c *call) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.quarantine.NeedsCanary(n.now(), c.class(), topology.CanarySuspect, c.fingerprint)
}

// recordSuspicion records whether the call has crashed leaves or has got a reply, and tells
// the other VMs what is news.
func (r *run) recordSuspicion() {
	n, c := r.node, r.call
	var reports []quarantine.LossReport
	if len(r.merged) > 0 {
		n.mu.Lock()
		reports = n.quarantine.RecordReply(n.now(), c.class(), c.fingerprint)
		n.mu.Unlock()
	} else if ends := r.leafEnds(); len(ends) > 0 {
		n.mu.Lock()
		reports = n.quarantine.RecordLosses(n.now(), c.losses(n.now(), ends)...)
		n.mu.Unlock()
	}
	for _, report := range reports {
		logLossReport(report, n.config.VM)
	}
	n.sendLossReports(reports, "")
}

// class returns the class of the call in the quarantine.
func (c *call) class() topology.ClassID { return topology.ClassID(c.route.Name) }

// losses returns the ends of leaves as losses of the call.
func (c *call) losses(now time.Duration, ends []leafEnd) []quarantine.Loss {
	var out []quarantine.Loss
	for _, end := range ends {
		out = append(out, quarantine.Loss{
			Class: c.class(), Fingerprint: c.fingerprint, Ran: end.endedAt - end.startedAt, Age: now - end.endedAt,
		})
	}
	return out
}

// sendLossReports sends reports to all connected VMs but one.
func (n *Node) sendLossReports(reports []quarantine.LossReport, except topology.VMID) {
	if len(reports) == 0 {
		return
	}
	for _, p := range append(n.links.Peers(), n.server.Peers()...) {
		if p.Remote.VM != except {
			notifyLossReports(p, reports)
		}
	}
}

// sendActiveLosses sends what is known of requests that crash leaves to a VM that has just
// been connected: it may have been partitioned, paused or restarted.
func (n *Node) sendActiveLosses(p *wire.Peer) {
	n.mu.Lock()
	reports := n.quarantine.ActiveLosses(n.now())
	n.mu.Unlock()
	notifyLossReports(p, reports)
}

func notifyLossReports(p *wire.Peer, reports []quarantine.LossReport) {
	for _, report := range reports {
		if err := p.Notify(wire.KindLossReport, report); err != nil {
			klog.ErrorS(err, "Failed to encode a loss report", "vm", p.Remote.VM)
		}
	}
}

// handleLossReport applies a report of another VM, and passes it on if it is news.
func (n *Node) handleLossReport(p *wire.Peer, env *wire.Envelope) {
	var report quarantine.LossReport
	if err := wire.DecodeBody(env, &report); err != nil {
		klog.ErrorS(err, "Failed to decode a loss report", "vm", p.Remote.VM)
		return
	}
	n.mu.Lock()
	news := n.quarantine.ApplyReport(n.now(), report)
	report.Blocked = n.quarantine.Blocked(n.now(), report.Fingerprint)
	n.mu.Unlock()
	if news {
		logLossReport(report, string(p.Remote.VM))
		n.sendLossReports([]quarantine.LossReport{report}, p.Remote.VM)
	}
}

func logLossReport(report quarantine.LossReport, vm string) {
	klog.InfoS("Request crashed a leaf, or was cleared", "vm", vm, "route", report.Class, "fingerprint", strconv.FormatUint(report.Fingerprint, 16),
		"cleared", report.Cleared, "quarantined", report.Blocked, "origin", report.Origin, "seq", report.Seq)
}
