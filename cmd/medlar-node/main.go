// Command medlar-node runs the query tier on one VM of the users' platform.
// This single program takes the place of medlar-entry, medlar-relay and
// medlar-agent.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/extraload"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/gateway"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
	"github.com/medlarswitch/medlarswitch/internal/placement"
	"github.com/medlarswitch/medlarswitch/internal/settings"
	"github.com/medlarswitch/medlarswitch/platform"
)

const description = `Settings (TOML):

  vm = "edge-osorno-1"
  zone = "osorno"
  cpu_share = 0.4                # part of a core that the process may use
  cpu_speed = 1                  # how many times as fast as the usual one that core is
  callers = "10.0.0.1:8104"      # callers' requests
  ready = "10.0.0.1:8108"        # readiness check of the balancer
  admin = "10.0.0.1:7380"        # metrics as text
  peers = "10.0.0.1:8106"        # other VMs
  seeds = ["10.0.0.1:8106"]      # VMs that read the store for the others
  store = "10.200.1.7:8102"      # the platform's object store
  first_start = false            # true when the whole system starts for the first time
  grace = "6s"                   # from SIGTERM to SIGKILL
  extra_ratio = 0.2              # further requests to a service, per request
  extra_slack = 58               # and besides, over all VMs, in a window
  extra_window = "10s"           # length of the windows
  cold_factor = 1.5              # bound of a cold leaf, times its stated rate
  cold_slack = 5                 # and besides
  memory_mb = 284                # memory that the process may take; 184 if absent
  descriptors = 4100             # descriptors that it may have open; 4100 if absent
  log_verbosity = 0`

const settingsHelp = `

SIGHUP reloads the bounds, the seeds and the grace period. A changed address, memory
or number of descriptors takes effect after a restart. Without --settings, the environment variable
MEDLARSWITCH_CONFIG names the file.`

func main() {
	lifecycle.IgnoreHangup()
	d := command.Daemon{
		Name: "medlar-node", Usage: "answer callers on the users' platform",
		Description: description + settingsHelp, Load: load,
	}
	os.Exit(d.Main())
}

func load(path string) (func(context.Context) error, int, error) {
	cfg, err := settings.Load[settings.Node](path)
	if err != nil {
		return nil, 0, err
	}
	return func(ctx context.Context) error { return run(ctx, path, cfg) }, cfg.LogVerbosity, nil
}

func run(ctx context.Context, path string, cfg settings.Node) error {
	// The garbage collector runs more often when the memory would not suffice otherwise.
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.Memory)))
	node := gateway.New(gatewayConfig(cfg), platform.NewStore(cfg.Store), platform.Codec{})
	lifecycle.OnReload(ctx, path, func() { reload(node, path) })
	return node.Run(ctx)
}

// reload applies the settings that may change while the node runs. If the file is
// not valid, the node keeps its previous settings.
func reload(node *gateway.Node, path string) {
	cfg, err := settings.Load[settings.Node](path)
	if err != nil {
		klog.ErrorS(err, "The changed settings are not valid, keeping the previous ones")
		return
	}
	node.Reload(gatewayConfig(cfg))
}

// heapPart is the part of the memory that the Go runtime may take; the rest is for the program's
// text and for buffers of the system.
const heapPart = 0.75

func gatewayConfig(cfg settings.Node) gateway.Config {
	return gateway.Config{
		VM: cfg.VM, Zone: cfg.Zone, Cores: cfg.CPUShare * cfg.CPUSpeed, CallerAddress: cfg.Callers, ReadyAddress: cfg.Ready, AdminAddress: cfg.Admin, ReadyPath: platform.ReadyPath,
		PeerAddress: cfg.Peers,
		Source:      feedsource.Config{Self: cfg.Peers, Seeds: cfg.Seeds, FirstStart: cfg.FirstStart},
		ExtraLoad:   extraload.Config{Ratio: cfg.ExtraRatio, Slack: cfg.ExtraSlack, Window: cfg.ExtraWindow, StartFull: cfg.FirstStart},
		Placement:   placement.Config{ColdFactor: cfg.ColdFactor, ColdSlack: cfg.ColdSlack},
		GracePeriod: cfg.Grace, Memory: cfg.Memory, Descriptors: cfg.Descriptors,
	}
}
