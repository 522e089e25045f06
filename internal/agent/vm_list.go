package agent

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// nonWatcherPollFactor is the number of poll intervals between reads of the VM list
// by an agent that does not watch the store. It receives the list from its peers.
const nonWatcherPollFactor = 30

// pollVMs reads the platform's VM list: in each poll interval while this agent
// watches the store or has no list, else every nonWatcherPollFactor intervals.
func (s *Server) pollVMs(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%nonWatcherPollFactor == 0 || s.store.watching() || s.vmVersion() == 0 {
			s.readVMs(ctx)
		}
		sleep(ctx, s.cfg.PollInterval)
	}
}

func (s *Server) readVMs(ctx context.Context) {
	view, err := s.platform.VMs(ctx)
	if err != nil {
		klog.V(1).InfoS("Cannot read the VM list", "err", err)
		return
	}
	s.setVMs(view)
}

func (s *Server) vmVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Version
}

// setVMs applies a VM list if it is newer than the current one and sends it to the
// VM's own processes.
func (s *Server) setVMs(view topology.VMView) {
	s.mu.Lock()
	if view.Version <= s.view.Version {
		s.mu.Unlock()
		return
	}
	old := s.view
	s.view = view
	s.mu.Unlock()
	var addrs []string
	for _, vm := range view.VMs {
		if vm.ID != s.cfg.Self.ID {
			addrs = append(addrs, vm.AgentAddress)
		}
		s.loop.postBlocking(confsync.PeerJoined{VM: vm})
	}
	for _, vm := range old.VMs {
		if _, stays := view.Find(vm.ID); !stays {
			s.loop.postBlocking(confsync.PeerLeft{VM: vm.ID})
		}
	}
	s.peers.Set(s.loop.ctx(), addrs)
	for _, p := range s.subscriberList() {
		notify(p, wire.KindVMView, message.VMView{View: view})
	}
}

// peerOf returns the connection to another VM's agent, or nil.
func (s *Server) peerOf(id topology.VMID) *wire.Peer {
	s.mu.Lock()
	vm, ok := s.view.Find(id)
	s.mu.Unlock()
	if ok {
		return s.peers.Get(vm.AgentAddress)
	}
	for _, p := range s.peers.Peers() {
		if p.Remote.VM == id {
			return p
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
