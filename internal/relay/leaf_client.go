package relay

import (
	"context"
	"net/http"
	"net/http/httptrace"
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
	// idleConnTimeout closes connections on which nothing was sent for so long
	// that they may have gone silent. The probe each second keeps the
	// connection used last alive and tests it.
	idleConnTimeout = 5 * time.Second
	probeTimeout    = 900 * time.Millisecond

	// gzipName is the compression that a Connect client accepts by default.
	gzipName = "gzip"
)

// leafClient calls one leaf over its share of the leaf's connections.
type leafClient struct {
	leaf      *topology.Leaf
	transport *http.Transport
	rpc       medlarv1connect.LeafServiceClient
}

// newLeafClient returns a client that opens at most the given number of
// connections.
func newLeafClient(leaf *topology.Leaf, connections int) *leafClient {
	t := &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: idleConnTimeout,
		// A leaf is in the relay's zone, where bytes cost less than the
		// compression of a reply of a few hundred of them. Both the transport
		// and the Connect client ask for gzip by default.
		DisableCompression: true,
	}
	return &leafClient{
		leaf: leaf, transport: t,
		rpc: medlarv1connect.NewLeafServiceClient(
			&http.Client{Transport: t}, "http://"+leaf.Address,
			connect.WithAcceptCompression(gzipName, nil, nil),
		),
	}
}

// run sends one request and waits for its reply. startBy is wall time.
func (c *leafClient) run(ctx context.Context, req *leafRequest, startBy time.Time) leafResult {
	began := time.Now()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	result := c.send(ctx, req, startBy)
	result.runTime = time.Since(began)
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
		return c.failed(ctx, err)
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
		return c.failed(ctx, err)
	}
	return leafResult{boot: resp.Msg.GetBootId(), shard: req.shard, result: resp.Msg.GetResult()}
}

// failed classifies an error. A connection that is lost while neither the
// caller left nor the deadline passed counts as a possible crash of the leaf.
func (c *leafClient) failed(ctx context.Context, err error) leafResult {
	e := errs.FromConnect(err, errs.StepLeafCall, string(c.leaf.ID))
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = errs.ReasonDeadline
	case ctx.Err() != nil:
		e.Reason = errs.ReasonCancelled
	}
	return leafResult{err: e, reset: e.Reason == errs.ReasonConnectionLost}
}

// probe asks for the leaf's report.
func (c *leafClient) probe(ctx context.Context) (*medlarv1.ReportResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := c.rpc.Report(ctx, connect.NewRequest(&medlarv1.ReportRequest{}))
	if err != nil {
		return nil, errs.FromConnect(err, errs.StepLeafDial, string(c.leaf.ID))
	}
	return resp.Msg, nil
}

func (c *leafClient) close() { c.transport.CloseIdleConnections() }
