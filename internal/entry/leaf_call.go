package entry

import (
	"context"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// callLeaf sends a request to a leaf through its rank-1 relay, or through its rank-2
// relay if the first is not connected or certainly did not send the request to the
// leaf. At most one leaf call results, also for non-idempotent requests.
func (s *Server) callLeaf(ctx context.Context, req *message.LeafRequest, shard topology.ShardID, snap topology.Snapshot) (*message.LeafReply, *errs.Error) {
	v := s.view.Load()
	leaf, ok := v.topology.Leaves[req.Leaf]
	if !ok {
		return nil, errs.New(errs.StepPlan, string(req.Leaf), errs.ReasonNoLeaf, true, "leaf is not in the configuration")
	}
	if !v.topology.InService(leaf.Zone) {
		return nil, errs.New(errs.StepPlan, string(req.Leaf), errs.ReasonZoneOut, true, "zone %q is out of service", leaf.Zone)
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
		if !canTryNextRelay(err) {
			break
		}
	}
	return nil, last
}

// canTryNextRelay reports whether the failure is the relay's and not the leaf's,
// and the request is known not to have run. A failure of the leaf would recur
// through another relay.
func canTryNextRelay(err *errs.Error) bool {
	if !err.NotRun {
		return false
	}
	switch err.Step {
	case errs.StepRelayDial, errs.StepRelaySend:
		return err.Reason == errs.ReasonConnectionLost
	case errs.StepRelayQueue:
		return relayRefusals[err.Reason]
	default:
		return false
	}
}

// relayRefusals holds the reasons for which one relay of a leaf may refuse a
// request while the other accepts it. For a cold leaf, the other relay may hold the
// cold lease or know that the leaf is warm.
var relayRefusals = map[errs.Reason]bool{
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
