// Command medlar-relay owns connections to the leaves of its zone and sends the
// leaf requests of entries over them.
package main

import (
	"context"
	"net"
	"os"

	"github.com/medlarswitch/medlarswitch/internal/agentlink"
	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/relay"
	"github.com/medlarswitch/medlarswitch/internal/settings"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const description = `Settings (TOML):

  vm = "vm-1"
  zone = "osorno"
  admin = "10.0.0.1:8092"        # metrics, health, operators
  agent = "10.0.0.1:8071"        # frames of this VM's agent
  frames = "10.0.0.1:8091"       # frames of entries and other relays
  drain_delay = "2s"
  log_verbosity = 0`

func main() {
	d := command.Daemon{
		Name: "medlar-relay", Usage: "send leaf requests over the connections of one availability zone",
		Description: description, Load: load,
	}
	os.Exit(d.Main())
}

func load(path string) (func(context.Context) error, int, error) {
	cfg, err := settings.Load[settings.Relay](path)
	if err != nil {
		return nil, 0, err
	}
	return func(ctx context.Context) error { return run(ctx, cfg) }, cfg.LogVerbosity, nil
}

func run(ctx context.Context, cfg settings.Relay) error {
	proc := telemetry.NewProcess(cfg.VM, cfg.Zone, wire.RoleRelay)
	server := relay.NewServer(proc)
	frames, err := net.Listen("tcp", cfg.Frames)
	if err != nil {
		return command.ListenError(err, "frames")
	}
	admin, err := telemetry.Listen(proc, cfg.Admin, server.Status)
	if err != nil {
		return command.ListenError(err, "admin")
	}
	defer admin.Close()
	// The link to the agent stays up after the stop signal, because the relay
	// still serves entries while it drains.
	linkCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	link := agentlink.New(proc, cfg.Agent, server)
	server.SetLink(link)
	go link.Run(linkCtx)
	return server.Run(ctx, frames, cfg.DrainDelay)
}
