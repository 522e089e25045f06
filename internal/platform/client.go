package platform

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	callTimeout = 2 * time.Second
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	url   string
	team  string
	store medlarv1connect.ObjectStoreClient
	vms   medlarv1connect.VMListClient
}

// NewClient returns a client of the platform at a URL. The team is sent with
// each write; it is empty for processes other than medlarctl.
func NewClient(url, team string) *Client {
	hc := &http.Client{}
	return &Client{
		url: url, team: team,
		store: medlarv1connect.NewObjectStoreClient(hc, url),
		vms:   medlarv1connect.NewVMListClient(hc, url),
	}
}

// Get reads an object. A missing one has version 0.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.store.Get(ctx, connect.NewRequest(&medlarv1.GetRequest{Key: key}))
	if err != nil {
		return Object{}, c.wrap(err)
	}
	return Object{Value: resp.Msg.GetValue(), Version: resp.Msg.GetVersion()}, nil
}

// Put writes an object if it still has the given version; 0 creates it. It
// returns the new version. After an error other than ErrConflict and ErrRefused
// it is unknown whether the write was applied.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.store.Put(ctx, connect.NewRequest(&medlarv1.PutRequest{
		Key: key, Value: value, IfVersion: ifVersion, Team: c.team,
	}))
	if err == nil {
		return resp.Msg.GetVersion(), nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return 0, ErrConflict
	case connect.CodeInvalidArgument, connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return 0, errs.Wrap(errors.WithMessage(ErrRefused, err.Error()), errs.StepStore, c.url, errs.ReasonInvalid, true)
	}
	return 0, c.wrap(err)
}

// Watch waits until an object's version differs from the given one, and returns
// the object. After the wait it returns the unchanged object.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	resp, err := c.store.Watch(ctx, connect.NewRequest(&medlarv1.WatchRequest{
		Key: key, AfterVersion: after, WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return Object{}, c.wrap(err)
	}
	return Object{Value: resp.Msg.GetValue(), Version: resp.Msg.GetVersion()}, nil
}

// VMs reads the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) (topology.VMView, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.vms.ListVMs(ctx, connect.NewRequest(&medlarv1.ListVMsRequest{}))
	if err != nil {
		return topology.VMView{}, c.wrap(err)
	}
	view := topology.VMView{Version: resp.Msg.GetVersion()}
	for _, vm := range resp.Msg.GetVms() {
		view.VMs = append(view.VMs, topology.VM{
			ID: topology.VMID(vm.GetId()), Zone: topology.Zone(vm.GetZone()),
			EntryAddress: vm.GetEntryAddress(), RelayAddress: vm.GetRelayAddress(),
			AgentAddress: vm.GetAgentAddress(), Leaving: vm.GetLeaving(),
			AdminAddresses: vm.GetAdminAddresses(),
		})
	}
	return view, nil
}

func (c *Client) wrap(err error) error {
	return errs.FromConnect(err, errs.StepStore, c.url)
}
