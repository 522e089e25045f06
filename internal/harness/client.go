package harness

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// callTimeout limits each call to an entry.
const callTimeout = 8 * time.Second

// EntryClient returns a client of the entry on a VM.
func (c *Cluster) EntryClient(vm int) medlarv1connect.QueryServiceClient {
	url := "http://" + c.Fleet.VMAddress(vm, standin.PortEntryCallers)
	return medlarv1connect.NewQueryServiceClient(http.DefaultClient, url)
}

// Query sends a query to the entry on a VM.
func (c *Cluster) Query(ctx context.Context, vm int, class, text string) (*medlarv1.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.EntryClient(vm).Query(ctx, connect.NewRequest(&medlarv1.QueryRequest{Class: class, Text: text}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// BeginSubmit requests a ticket from the entry on a VM.
func (c *Cluster) BeginSubmit(ctx context.Context, vm int, class string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.EntryClient(vm).BeginSubmit(ctx, connect.NewRequest(&medlarv1.BeginSubmitRequest{Class: class}))
	if err != nil {
		return "", err
	}
	return resp.Msg.GetTicket(), nil
}

// Submit sends a request with its ticket to the entry on a VM.
func (c *Cluster) Submit(ctx context.Context, vm int, req *medlarv1.SubmitRequest) (*medlarv1.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.EntryClient(vm).Submit(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Status returns the status of a process from its admin address.
func (c *Cluster) Status(ctx context.Context, vm int, role string) (*medlarv1.StatusResponse, error) {
	client := medlarv1connect.NewAdminServiceClient(c.http, "http://"+c.adminAddress(vm, role))
	resp, err := client.Status(ctx, connect.NewRequest(&medlarv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (c *Cluster) adminAddress(vm int, role string) string {
	ports := map[string]int{RoleAgent: standin.PortAgentAdmin, RoleRelay: standin.PortRelayAdmin, RoleEntry: standin.PortEntryAdmin}
	return c.Fleet.VMAddress(vm, ports[role])
}
