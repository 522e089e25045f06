// Command medlar-agent holds the configuration and the VM list for the entry and
// the relay on its VM, and distributes the configuration together with the other
// agents.
package main

import (
	"context"
	"net"
	"os"

	"github.com/medlarswitch/medlarswitch/internal/agent"
	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/settings"
	"github.com/medlarswitch/medlarswitch/internal/telemetry"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

const description = `Settings (TOML):

  vm = "vm-1"
  zone = "osorno"
  admin = "10.0.0.1:8072"        # metrics, health, operators
  agent = "10.0.0.1:8071"        # frames of this VM and of other agents
  platform = "http://10.0.9.1:7000"
  poll_interval = "1s"
  peers = ["10.0.0.2:8071"]
  drain_delay = "2s"
  log_verbosity = 0`

func main() {
	d := command.Daemon{
		Name: "medlar-agent", Usage: "hold the configuration and the VM list for the processes of one VM",
		Description: description, Load: load,
	}
	os.Exit(d.Main())
}

func load(path string) (func(context.Context) error, int, error) {
	cfg, err := settings.Load[settings.Agent](path)
	if err != nil {
		return nil, 0, err
	}
	return func(ctx context.Context) error { return run(ctx, cfg) }, cfg.LogVerbosity, nil
}

func run(ctx context.Context, cfg settings.Agent) error {
	proc := telemetry.NewProcess(cfg.VM, cfg.Zone, wire.RoleAgent)
	server := agent.NewServer(proc, agent.Config{
		Self:     topology.VM{ID: cfg.VM, Zone: cfg.Zone, AgentAddress: cfg.Agent},
		Platform: cfg.Platform, PollInterval: cfg.PollInterval, Peers: cfg.Peers, DrainDelay: cfg.DrainDelay,
	})
	frames, err := net.Listen("tcp", cfg.Agent)
	if err != nil {
		return command.ListenError(err, "agent")
	}
	admin, err := telemetry.Listen(proc, cfg.Admin, server.Status)
	if err != nil {
		return command.ListenError(err, "admin")
	}
	defer admin.Close()
	return server.Run(ctx, frames)
}
