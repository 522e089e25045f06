// Command medlar-entry answers the queries and submits of callers. It sends them
// to the leaves through relays and merges the replies of a query.
package main

import (
	"context"
	"net"
	"os"

	"github.com/medlarswitch/medlarswitch/internal/agentlink"
	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/entry"
	"github.com/medlarswitch/medlarswitch/internal/settings"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const description = `Settings (TOML):

  vm = "vm-1"
  zone = "osorno"
  admin = "10.0.0.1:8082"        # metrics, health, readiness, operators
  agent = "10.0.0.1:8071"        # frames of this VM's agent
  callers = "10.0.0.1:8080"      # Connect over HTTP
  frames = "10.0.0.1:8081"       # frames of other entries
  max_queries = 256
  max_tickets = 100000
  drain_delay = "2s"
  log_verbosity = 0`

func main() {
	d := command.Daemon{
		Name: "medlar-entry", Usage: "answer the queries and submits of callers",
		Description: description, Load: load,
	}
	os.Exit(d.Main())
}

func load(path string) (func(context.Context) error, int, error) {
	cfg, err := settings.Load[settings.Entry](path)
	if err != nil {
		return nil, 0, err
	}
	return func(ctx context.Context) error { return run(ctx, cfg) }, cfg.LogVerbosity, nil
}

func run(ctx context.Context, cfg settings.Entry) error {
	proc := telemetry.NewProcess(cfg.VM, cfg.Zone, wire.RoleEntry)
	server := entry.NewServer(proc, entry.Config{
		MaxQueries: cfg.MaxQueries, MaxTickets: cfg.MaxTickets, DrainDelay: cfg.DrainDelay,
	})
	callers, err := net.Listen("tcp", cfg.Callers)
	if err != nil {
		return command.ListenError(err, "callers")
	}
	frames, err := net.Listen("tcp", cfg.Frames)
	if err != nil {
		return command.ListenError(err, "frames")
	}
	admin, err := telemetry.Listen(proc, cfg.Admin, server.Status)
	if err != nil {
		return command.ListenError(err, "admin")
	}
	defer admin.Close()
	// The link to the agent stays up after the stop signal, because the entry
	// still serves callers while it drains.
	linkCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	link := agentlink.New(proc, cfg.Agent, server)
	server.SetLink(link)
	go link.Run(linkCtx)
	return server.Run(ctx, entry.Listeners{Callers: callers, Frames: frames})
}
