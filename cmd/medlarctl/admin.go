package main

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/platform"
)

const (
	adminTimeout = 2 * time.Second
	// maxParallelCalls limits the processes that are called at the same time.
	maxParallelCalls = 64
)

// newPlatform returns a client of the platform that the global flags name.
func newPlatform(c *cli.Command) (*platform.Client, error) {
	const expected = "expected the platform's URL in --platform or MEDLAR_PLATFORM, such as http://10.0.0.1:7000"
	platformURL := c.String("platform")
	if platformURL == "" {
		return nil, command.UsageError(c, "the platform is missing: %s", expected)
	}
	if u, err := url.Parse(platformURL); err != nil || u.Host == "" || u.Scheme != "http" {
		return nil, command.UsageError(c, "the platform is %q: %s", platformURL, expected)
	}
	return platform.NewClient(platformURL, c.String("team")), nil
}

// requireTeam returns a usage error if the command line names no team.
func requireTeam(c *cli.Command) error {
	if c.String("team") == "" {
		return command.UsageError(c, "the team is missing: expected your team's name in --team or MEDLAR_TEAM; 'medlarctl section get owners' lists them")
	}
	return nil
}

// adminReply holds the reply of one process, or the error of the call.
type adminReply[T any] struct {
	Address string `json:"address"`
	Message T      `json:"message,omitempty"`
	Error   string `json:"error,omitempty"`
}

// callAll calls the AdminService of every process in the VM list and returns one
// reply per process. If a call fails, its reply holds the error and the other
// calls continue.
func callAll[T any](ctx context.Context, c *cli.Command, call func(context.Context, medlarv1connect.AdminServiceClient) (T, error)) ([]adminReply[T], error) {
	client, err := newPlatform(c)
	if err != nil {
		return nil, err
	}
	view, err := client.VMs(ctx)
	if err != nil {
		return nil, errors.WithMessage(err, "cannot read the VM list; check --platform, or ask each process at /metrics")
	}
	var addrs []string
	for _, vm := range view.VMs {
		addrs = append(addrs, vm.AdminAddresses...)
	}
	replies := make([]adminReply[T], len(addrs))
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i, addr := range addrs {
		g.Go(func() error {
			replies[i] = callOne(ctx, addr, call)
			return nil
		})
	}
	return replies, g.Wait()
}

func callOne[T any](ctx context.Context, addr string, call func(context.Context, medlarv1connect.AdminServiceClient) (T, error)) adminReply[T] {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	client := medlarv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+addr)
	msg, err := call(ctx, client)
	if err != nil {
		return adminReply[T]{Address: addr, Error: err.Error()}
	}
	return adminReply[T]{Address: addr, Message: msg}
}
