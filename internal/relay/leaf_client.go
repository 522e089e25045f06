package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// idleConnTimeout closes idle connections, which may have become
	// unresponsive unnoticed. The probe each second keeps the most recently used
	// connection open and tests it.
	idleConnTimeout = 5 * time.Second
	probeTimeout    = 900 * time.Millisecond

	// gzipName is the name of the compression that a Connect client accepts by
	// default.
	gzipName = "gzip"
)

// errNotProbed is returned instead of a new connection for a request while the
// leaf may have restarted.
var errNotProbed = errors.New("the leaf closed a connection and has not been probed since")

// probeContextKey is the context key that marks a probe.
type probeContextKey struct{}

// leafClient calls one leaf over this relay's share of the leaf's connections.
type leafClient struct {
	leaf      *topology.Leaf
	transport *http.Transport
	rpc       medlarv1connect.LeafServiceClient
	// onClosed is called with the number of connections that the leaf has closed
	// so far.
	onClosed func(uint64)
	// closed counts the connections that the leaf has closed; closedAtProbe is
	// its value when the last successful probe began.
	closed, closedAtProbe atomic.Uint64

	mu   sync.Mutex
	open map[*leafConn]struct{}
}

// newLeafClient returns a client that opens at most the given number of
// connections. onClosed must not block.
func newLeafClient(leaf *topology.Leaf, connections int, onClosed func(uint64)) *leafClient {
	c := &leafClient{leaf: leaf, onClosed: onClosed, open: make(map[*leafConn]struct{})}
	c.transport = &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: idleConnTimeout, DialContext: c.dial,
		// A leaf is in the relay's zone, where sending a reply of a few hundred
		// bytes costs less than compressing it. Both the transport and the
		// Connect client request gzip by default.
		DisableCompression: true,
	}
	c.rpc = medlarv1connect.NewLeafServiceClient(
		&http.Client{Transport: c.transport}, "http://"+leaf.Address,
		connect.WithAcceptCompression(gzipName, nil, nil),
	)
	return c
}

// dial opens a connection. After the leaf has closed a connection, dialing for a
// request fails until a probe has succeeded: the leaf may have restarted, and the
// request may have been dispatched before the worker received the event.
func (c *leafClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if ctx.Value(probeContextKey{}) == nil && c.closed.Load() > c.closedAtProbe.Load() {
		return nil, errNotProbed
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	out := &leafConn{Conn: conn, onRemoteClose: func() { c.onClosed(c.closed.Add(1)) }, onLocalClose: c.forget}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[out] = struct{}{}
	return out, nil
}

// forget removes a connection that this side closes.
func (c *leafClient) forget(conn *leafConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// closedByLeaf returns the number of connections that the leaf has closed so far.
// Closes that the kernel has received count even if no pending Read has returned yet.
func (c *leafClient) closedByLeaf() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.detectClose()
	}
	return c.closed.Load()
}

// run sends one request and waits for its reply. startBy is in wall time.
func (c *leafClient) run(ctx context.Context, req *leafRequest, startBy time.Time) leafResult {
	startedAt := time.Now()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	result := c.send(ctx, req, startBy)
	result.runTime = time.Since(startedAt)
	if result.err != nil && !written.Load() {
		result.err.NotRun = true
		result.unsent = true
	}
	return result
}

func (c *leafClient) send(ctx context.Context, req *leafRequest, startBy time.Time) leafResult {
	if req.message.Op == message.OpExecute {
		return c.execute(ctx, req, startBy)
	}
	return c.search(ctx, req, startBy)
}

func (c *leafClient) search(ctx context.Context, req *leafRequest, startBy time.Time) leafResult {
	resp, err := c.rpc.Search(ctx, connect.NewRequest(&medlarv1.SearchRequest{
		Shard: string(req.shard), Text: req.message.Text, RequestId: req.message.RequestID,
		Snapshot: &medlarv1.Snapshot{
			IndexVersion: req.snapshot.IndexVersion, PartitionGeneration: req.snapshot.PartitionGeneration,
		},
		StartByUnixMs: startBy.UnixMilli(),
	}))
	if err != nil {
		return c.failureResult(ctx, err)
	}
	hits := make([]message.Hit, len(resp.Msg.GetHits()))
	for i, h := range resp.Msg.GetHits() {
		hits[i] = message.Hit{Key: h.GetKey(), Score: h.GetScore()}
	}
	return leafResult{
		boot: resp.Msg.GetBootId(), shard: topology.ShardID(resp.Msg.GetShard()), hits: hits,
		snapshot: topology.Snapshot{
			IndexVersion:        resp.Msg.GetSnapshot().GetIndexVersion(),
			PartitionGeneration: resp.Msg.GetSnapshot().GetPartitionGeneration(),
		},
	}
}

func (c *leafClient) execute(ctx context.Context, req *leafRequest, startBy time.Time) leafResult {
	resp, err := c.rpc.Execute(ctx, connect.NewRequest(&medlarv1.ExecuteRequest{
		Shard: string(req.shard), RequestId: req.message.RequestID, Payload: req.message.Payload,
		StartByUnixMs: startBy.UnixMilli(),
	}))
	if err != nil {
		return c.failureResult(ctx, err)
	}
	return leafResult{boot: resp.Msg.GetBootId(), shard: req.shard, result: resp.Msg.GetResult()}
}

// failureResult classifies an error. A connection that is lost before the caller
// cancels and before the deadline counts as a possible crash of the leaf.
func (c *leafClient) failureResult(ctx context.Context, err error) leafResult {
	e := errs.FromConnect(err, errs.StepLeafCall, string(c.leaf.ID))
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = errs.ReasonDeadline
	case ctx.Err() != nil:
		e.Reason = errs.ReasonCancelled
	}
	return leafResult{err: e, reset: e.Reason == errs.ReasonConnectionLost}
}

// probe requests the leaf's report. closed is the number of connections that the
// leaf had closed when the probe began.
func (c *leafClient) probe(ctx context.Context) (report *medlarv1.ReportResponse, closed uint64, err error) {
	closed = c.closed.Load()
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, probeContextKey{}, true), probeTimeout)
	defer cancel()
	resp, err := c.rpc.Report(ctx, connect.NewRequest(&medlarv1.ReportRequest{}))
	if err != nil {
		return nil, closed, errs.FromConnect(err, errs.StepLeafDial, string(c.leaf.ID))
	}
	return resp.Msg, closed, nil
}

// allowDial permits new connections again after a successful probe. closed is the
// number of connections that the leaf had closed when the probe began.
func (c *leafClient) allowDial(closed uint64) { c.closedAtProbe.Store(closed) }

func (c *leafClient) close() { c.transport.CloseIdleConnections() }
