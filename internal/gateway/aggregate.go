package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// handlePeer handles a message from another VM. It does not block.
func (n *Node) handlePeer(p *wire.Peer, env *wire.Envelope) {
	switch env.Kind {
	case wire.KindQuery:
		n.handleQuery(p, env)
	case wire.KindCancel:
		n.aggregated.cancel(aggregatedKey{p, env.ID})
	case wire.KindLossReport:
		n.handleLossReport(p, env)
	default:
		n.hub.Handle(p, env)
	}
}

// handleQuery runs a query of another VM, or declines it.
func (n *Node) handleQuery(p *wire.Peer, env *wire.Envelope) {
	var q message.Query
	if err := wire.DecodeBody(env, &q); err != nil {
		klog.ErrorS(err, "Failed to decode a query from another VM", "vm", p.Remote.VM)
		n.answerQuery(p, env, message.QueryAnswer{Declined: true})
		return
	}
	// The query is counted before the check for a stop, so that the stop waits
	// for it.
	exitDrain := n.drain.Enter()
	c, reason := n.admitQuery(&q)
	key := aggregatedKey{p, env.ID}
	ctx, cancel := context.WithCancel(n.lifetime)
	if c != nil && !n.aggregated.add(key, cancel) {
		n.release(c)
		c, reason = nil, "too many queries from other VMs"
	}
	// The answer does not need the message.
	env.Body = nil
	if c == nil {
		klog.V(1).InfoS("Declined a query from another VM", "request", q.RequestID, "vm", p.Remote.VM, "why", reason)
		n.answerQuery(p, env, message.QueryAnswer{Declined: true})
		cancel()
		exitDrain()
		return
	}
	go func() {
		defer exitDrain()
		defer n.release(c)
		defer cancel()
		defer n.aggregated.remove(key)
		defer n.panics.Recover("aggregate", q.RequestID, func() {
			n.answerQuery(p, env, message.QueryAnswer{Status: http.StatusInternalServerError})
		})
		n.aggregate(ctx, p, env, c)
	}()
}

// admitQuery returns a query as a call of this VM, for which release has to be called, or the
// reason to decline it.
func (n *Node) admitQuery(q *message.Query) (*call, string) {
	c, reason := n.acceptQuery(q)
	if c == nil {
		return nil, reason
	}
	if !n.reserveRun(c) {
		return nil, errNoRunRoom.Error()
	}
	id, ok := n.callers.addRun(queryMemory(q))
	if !ok {
		n.release(c)
		return nil, errNoCallerMemory.Error()
	}
	c.delegatedID = id
	return c, ""
}

// queryMemory returns the memory that a query of another VM takes.
func queryMemory(q *message.Query) int64 {
	return headerMemory(q.Header) + headByteFactor*int64(len(q.Target)) + bodyByteFactor*int64(len(q.Body))
}

// acceptQuery returns a query as a call of this VM, or the reason to decline
// it. Both VMs must use the same version of the configuration: otherwise the
// delegating VM could handle its next query by an older version than this one.
func (n *Node) acceptQuery(q *message.Query) (*call, string) {
	conf := n.activeConfiguration.Load()
	switch {
	case q.Path == "":
		return nil, "partition check only"
	case n.drain.Draining() || n.inDoubt.Load():
		return nil, "stopping"
	case n.partitioned.Load():
		return nil, "partitioned"
	case conf == nil || !n.leavesListed.Load() || conf.Version != q.Version:
		return nil, "no leaves, or another version of the configuration"
	}
	route := conf.FindRoute(q.Host, q.Path)
	if route == nil || !route.FansOut() {
		return nil, "no route with fan-out"
	}
	return &call{
		info: RequestInfo{RequestID: q.RequestID, TimeLeft: q.TimeLeft}, conf: conf, route: route, startedAt: time.Now(), path: q.Path,
		request: leafconn.Request{
			Method: q.Method, Target: q.Target, Host: q.Host, Header: q.Header, Body: q.Body, HasBody: q.HasBody,
		},
	}, ""
}

// aggregate runs a query of another VM and sends it the answer.
func (n *Node) aggregate(ctx context.Context, p *wire.Peer, env *wire.Envelope, c *call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// When the connection of the other VM is closed, nobody receives the answer.
		select {
		case <-p.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	n.metrics.aggregated.Inc(1)
	c.fingerprint = n.fingerprint(c)
	w := newAnswerBuffer()
	if !n.refuseQuarantined(w, c) && !n.execute(ctx, w, c) {
		return
	}
	n.answerQuery(p, env, message.QueryAnswer{Status: w.status, Header: w.header, Body: w.body.Bytes()})
}

func (n *Node) answerQuery(p *wire.Peer, env *wire.Envelope, answer message.QueryAnswer) {
	answer.Partitioned = n.partitioned.Load()
	answer.Runs = max(n.aggregated.count()-1, 0)
	if err := p.ReplyOrClose(env, wire.KindQueryAnswer, answer); err != nil {
		klog.ErrorS(err, "Failed to answer a query from another VM", "vm", p.Remote.VM)
	}
}
