package entry

import (
	"context"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// callLeaf sends a request to a leaf through its rank-1 relay, or through rank
// 2 when nothing of it can have reached rank 1. At most one leaf call results,
// also for non-idempotent requests.
func (s *Server) callLeaf(ctx context.Context, req *message.LeafRequest, shard topology.ShardID, snap topology.Snapshot) (*message.LeafReply, *errs.Error) {
	v := s.view.Load()
	leaf, ok := v.topology.Leaves[req.Leaf]
	if !ok {
		return nil, errs.New(errs.StepPlan, string(req.Leaf), errs.ReasonNoLeaf, true, "leaf is not in the configuration")
	}
	if !v.topology.InService(leaf.Zone) {
		return nil, errs.New(errs.StepPlan, string(req.Leaf), errs.ReasonZoneOut, true, "zone %q is out", leaf.Zone)
	}
	last := errs.New(errs.StepRelayDial, string(leaf.Zone), errs.ReasonNoLeaf, true, "no relay of the zone is connected")
	for _, addr := range v.relays(leaf) {
		peer := s.relays.Get(addr)
		if peer == nil {
			continue
		}
		reply, err := callRelay(ctx, peer, req, shard, snap)
		if err == nil {
			return reply, nil
		}
		last = err
		if !mayAskNextRelay(err) {
			break
		}
	}
	return nil, last
}

// mayAskNextRelay reports whether the failure is the relay's and not the
// leaf's, and the request is known not to have run. Another relay would only
// meet the leaf's failure again.
func mayAskNextRelay(err *errs.Error) bool {
	if !err.NotRun {
		return false
	}
	switch err.Step {
	case errs.StepRelayDial, errs.StepRelaySend:
		return err.Reason == errs.ReasonConnectionLost
	case errs.StepRelayQueue:
		return relayReasons[err.Reason]
	default:
		return false
	}
}

// relayReasons are refusals that another relay of the leaf may not share. It
// may hold the cold lease, or know that the leaf is warm.
var relayReasons = map[errs.Reason]bool{
	errs.ReasonNotOwner: true, errs.ReasonNoConfig: true, errs.ReasonPaused: true,
	errs.ReasonDraining: true, errs.ReasonCold: true,
}

func callRelay(ctx context.Context, peer *wire.Peer, req *message.LeafRequest, shard topology.ShardID, snap topology.Snapshot) (*message.LeafReply, *errs.Error) {
	env, err := peer.Call(ctx, wire.KindLeafRequest, string(shard), snap, req)
	if err != nil {
		return nil, errs.From(err, errs.StepRelaySend, string(peer.Remote.VM))
	}
	var reply message.LeafReply
	if err := wire.DecodeBody(env, &reply); err != nil {
		return nil, errs.Wrap(err, errs.StepDecode, string(peer.Remote.VM), errs.ReasonInternal, false)
	}
	if reply.Failure != nil {
		failed := reply.Failure.Err()
		failed.Crash = reply.Crash
		return nil, failed
	}
	return &reply, nil
}
