package agent

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const evictionsTimeout = 3 * time.Second

// handleEvictions reads a zone's evictions for the VM's relay, after a conditional
// update if the relay requests one.
func (s *Server) handleEvictions(p *wire.Peer, env *wire.Envelope) {
	defer s.proc.Panics.Recover("evictions", string(p.Remote.VM), nil)
	var call message.EvictionsCall
	if !decode(p, env, &call) {
		return
	}
	ctx, cancel := context.WithTimeout(s.loop.ctx(), evictionsTimeout)
	defer cancel()
	key := platform.KeyEvictions(string(call.Zone))
	if call.Replace {
		s.replaceEvictions(ctx, key, call)
	}
	if err := p.Reply(env, wire.KindEvictions, s.readEvictions(ctx, key)); err != nil {
		klog.ErrorS(err, "Cannot encode evictions")
	}
}

// replaceEvictions performs the conditional update. The read that follows shows
// whether it succeeded.
func (s *Server) replaceEvictions(ctx context.Context, key string, call message.EvictionsCall) {
	value, err := msgpack.Marshal(call.Evictions)
	if err != nil {
		klog.ErrorS(err, "Cannot encode evictions")
		return
	}
	if _, err := s.platform.Put(ctx, key, value, call.IfVersion); err != nil {
		klog.InfoS("Cannot update the evictions of a zone", "zone", call.Zone, "err", err)
	}
}

func (s *Server) readEvictions(ctx context.Context, key string) message.EvictionsAnswer {
	object, err := s.platform.Get(ctx, key)
	if err != nil {
		return message.EvictionsAnswer{}
	}
	if object.Version == 0 {
		return message.EvictionsAnswer{OK: true}
	}
	var list []coldlease.Eviction
	if err := msgpack.Unmarshal(object.Value, &list); err != nil {
		klog.ErrorS(err, "Cannot decode the evictions in the store", "key", key)
		return message.EvictionsAnswer{}
	}
	return message.EvictionsAnswer{OK: true, Evictions: list, Version: object.Version}
}
