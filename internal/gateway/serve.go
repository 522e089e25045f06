package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/drainplan"
	"github.com/medlarswitch/medlarswitch/internal/pause"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

const (
	// unreadyDelay is how long a stopping node still accepts connections. The
	// balancer checks readiness every second and removes a node after two
	// failed checks.
	unreadyDelay = 2500 * time.Millisecond
	// socketDrainDelay is the time to read requests that wait in socket
	// buffers.
	socketDrainDelay = 50 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for exiting
	// before the kill.
	stopMargin = 300 * time.Millisecond
	// headerTimeout limits the time to read a request's headers, independent of the
	// configuration, which may not be known yet.
	headerTimeout = 10 * time.Second
	// housekeepingInterval is the time between two runs of housekeeping.
	housekeepingInterval = 200 * time.Millisecond
	// degradedInterval is the time between two checks for states that limit the
	// service.
	degradedInterval = time.Second
)

// Run serves until the context is cancelled, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	// The followers outlive the stop signal: while the node drains it serves
	// requests and applies configurations.
	lifetime := n.lifetime
	defer n.cancel()
	connections := n.callers
	callerServer := &http.Server{
		Handler: http.HandlerFunc(n.serve), ReadHeaderTimeout: headerTimeout, ConnState: connections.connState, ConnContext: connections.connContext,
		MaxHeaderBytes: maxHeaderBytes,
	}
	readyServer := &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTimeout}
	adminServer := &http.Server{Handler: n.metrics, ReadHeaderTimeout: headerTimeout}
	serveErrors := make(chan error, 4)
	for addr, server := range map[string]*http.Server{n.config.CallerAddress: callerServer, n.config.ReadyAddress: readyServer, n.config.AdminAddress: adminServer} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		if server == callerServer {
			connections.listener = ln
			ln = callerListener{TCPListener: ln.(*net.TCPListener), callers: connections}
		}
		go func() { serveErrors <- server.Serve(ln) }()
	}
	peerListener, err := net.Listen("tcp", n.config.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", n.config.PeerAddress)
	}
	defer peerListener.Close()
	defer n.server.Close()
	go func() { serveErrors <- n.server.Serve(lifetime, peerListener) }()
	n.startDuties(lifetime, connections)
	select {
	case err := <-serveErrors:
		return errors.Wrap(err, "serve")
	case <-n.doubt:
		n.stop(lifetime, callerServer, connections)
		return errStateInDoubt
	case <-ctx.Done():
	}
	n.stop(lifetime, callerServer, connections)
	return nil
}

// startDuties starts the goroutines of the node that no request starts.
func (n *Node) startDuties(ctx context.Context, connections *callerConns) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkPeers()
	for _, f := range n.followers {
		go n.runDuty("follow-"+f.kind.String(), func() { f.run(ctx) })
	}
	go n.runDuty("membership", func() { n.maintainMembership(ctx) })
	go n.runDuty("findings", func() { n.exchangeFindings(ctx) })
	go n.runDuty("poll-aggregators", func() { n.pollAggregators(ctx) })
	go n.runDuty("housekeeping", func() { n.housekeep(ctx, connections) })
}

// stop fails the readiness check, continues to serve until the balancer has
// noticed, and then waits for running requests. Those that would outlast the grace period
// are ended before it is over.
func (n *Node) stop(ctx context.Context, callerServer *http.Server, connections *callerConns) {
	startedAt := time.Now()
	n.drain.Begin()
	grace := time.Duration(n.gracePeriod.Load())
	now := n.now()
	n.stopping.begin(now, drainplan.New(now+grace-stopMargin))
	klog.InfoS("Stopping", "grace", grace)
	n.leave(ctx)
	sleep(ctx, min(unreadyDelay, grace/2)-time.Since(startedAt))
	// A process that was paused has requests in its socket buffers that were sent
	// in time; they are read before idle connections are closed. net/http drops requests
	// that it reads after Shutdown without an answer, so each connection on which one may
	// still arrive is answered and closed before, and no further one is accepted.
	sleep(ctx, socketDrainDelay)
	connections.stopAccepting()
	connections.closeAllIdle()
	sleep(ctx, socketDrainDelay)
	ctx, cancel := context.WithTimeout(ctx, grace-stopMargin-time.Since(startedAt))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		klog.InfoS("Requests were still running at the end of the grace period", "err", err)
	}
	if !n.drain.Wait(grace - stopMargin - time.Since(startedAt)) {
		klog.InfoS("Queries from other VMs were still running at the end of the grace period")
	}
}

// readyHandler answers readiness checks with 200 or 503.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(n.config.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// housekeep periodically closes connections of callers that are idle or slow, expires entries,
// probes unreachable zones, and logs pauses of the process and states that limit the
// service.
func (n *Node) housekeep(ctx context.Context, connections *callerConns) {
	pauses := pause.New(housekeepingInterval, pause.DefaultTolerance)
	last, lastReport := n.now(), n.now()
	for ctx.Err() == nil {
		sleep(ctx, housekeepingInterval)
		now := n.now()
		if pauses.Tick(now) {
			klog.ErrorS(nil, "Paused", "for", now-last)
		}
		last = now
		connections.closeExpired(time.Now())
		if now-lastReport >= degradedInterval {
			lastReport = now
			n.reportDegraded()
		}
		for _, choice := range n.expire() {
			go n.runDuty("probe-zone", func() { n.probeZone(ctx, choice) })
		}
	}
}

// expire expires entries of the directory and connections to leaves, and
// returns the leaves to probe.
func (n *Node) expire() []placement.Choice {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, kind := range n.directory.Expire(n.now()) {
		klog.InfoS("Removed what is still missing after the store outage", "kind", kind)
		n.propagate(kind)
	}
	n.propagate(directory.KindMembers)
	now := time.Now()
	for _, pooled := range n.pools {
		pooled.pool.CloseExpired(now)
	}
	return n.updatePartitionState()
}
