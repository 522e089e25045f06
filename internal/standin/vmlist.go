package standin

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// VMList is the platform's list of VMs. It is safe for concurrent use.
type VMList struct {
	faults *StoreFaults

	mu   sync.Mutex
	list *medlarv1.ListVMsResponse
}

// NewVMList returns an empty list that shares the faults of the platform's store.
func NewVMList(faults *StoreFaults) *VMList {
	return &VMList{faults: faults, list: &medlarv1.ListVMsResponse{}}
}

// Set replaces the VMs and increments the version of the list.
func (l *VMList) Set(vms []*medlarv1.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = &medlarv1.ListVMsResponse{Version: l.list.GetVersion() + 1, Vms: vms}
}

// ListVMs implements the VMList service.
func (l *VMList) ListVMs(ctx context.Context, _ *connect.Request[medlarv1.ListVMsRequest]) (*connect.Response[medlarv1.ListVMsResponse], error) {
	if err := l.faults.waitDelay(ctx); err != nil {
		return nil, err
	}
	if err := l.faults.checkUp(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return connect.NewResponse(proto.Clone(l.list).(*medlarv1.ListVMsResponse)), nil
}
