package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// Roles of the processes on a VM.
const (
	RoleAgent = "agent"
	RoleRelay = "relay"
	RoleEntry = "entry"
)

// roles lists the processes of a VM in the order in which they start.
var roles = []string{RoleAgent, RoleRelay, RoleEntry}

// Options describes a cluster.
type Options struct {
	// Bin is the directory that contains the programs.
	Bin string
	// Dir is the directory for settings files and logs.
	Dir string
	// User selects the installation, as in standin.NewFleet.
	User       string
	VMsPerZone int
	// PartitionedZone names a zone whose VMs reach the platform through a proxy,
	// which SetPartitioned can block. Empty means no proxy.
	PartitionedZone string
	// Classes is appended to the classes section of the configuration.
	Classes string
}

// Cluster runs the processes of one installation and the stand-ins they need.
type Cluster struct {
	Fleet *standin.Fleet
	opts  Options
	// Platform accesses the store as team operations.
	Platform *platform.Client
	standin  *Process
	// claim keeps other clusters from the loopback network.
	claim     net.Listener
	procs     map[string]*Process
	http      *http.Client
	partition *partitionProxy
}

// Start starts the stand-ins and all processes. Each cluster uses its own
// loopback network, so that several clusters can run on one machine.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	network, claim, err := claimNet()
	if err != nil {
		return nil, err
	}
	fleet, err := standin.NewFleet(opts.User, network, opts.VMsPerZone)
	if err != nil {
		_ = claim.Close()
		return nil, err
	}
	for i := range fleet.Sections {
		if s := &fleet.Sections[i]; s.Name == "classes" {
			s.Text += opts.Classes
		}
	}
	c := &Cluster{
		Fleet: fleet, opts: opts, claim: claim, procs: make(map[string]*Process),
		Platform: platform.NewClient(fleet.PlatformURL(), "operations"),
		http:     &http.Client{Timeout: 5 * time.Second},
	}
	if err := c.start(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	c.standin, err = StartProcess(c.opts.Dir, "standin", filepath.Join(c.opts.Bin, "medlar-standin"),
		"--user", c.opts.User, "--net", c.Fleet.Net, "--vms-per-zone", fmt.Sprint(c.opts.VMsPerZone))
	if err != nil {
		return err
	}
	if err := c.waitHTTP(ctx, c.Fleet.ControlURL()+"/store"); err != nil {
		return err
	}
	if err := c.startPartitionProxy(); err != nil {
		return err
	}
	for vm := range c.Fleet.VMs {
		for _, role := range roles {
			if err := c.StartProcess(vm, role); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartProcess writes the settings of a process and starts it. VMs are numbered
// from 0.
func (c *Cluster) StartProcess(vm int, role string) error {
	name := processName(vm, role)
	path := filepath.Join(c.opts.Dir, name+".toml")
	if err := os.WriteFile(path, []byte(c.settings(vm, role)), 0o644); err != nil {
		return err
	}
	p, err := StartProcess(c.opts.Dir, name, filepath.Join(c.opts.Bin, "medlar-"+role), "--settings", path)
	if err != nil {
		return err
	}
	c.procs[name] = p
	return nil
}

// Process returns the process with the given role on a VM.
func (c *Cluster) Process(vm int, role string) *Process { return c.procs[processName(vm, role)] }

// Stop stops all processes gracefully, then the stand-ins.
func (c *Cluster) Stop() error {
	var g errgroup.Group
	for _, p := range c.procs {
		if p.Running() {
			g.Go(p.Stop)
		}
	}
	err := g.Wait()
	if stopErr := c.standin.Stop(); err == nil {
		err = stopErr
	}
	return err
}

// Kill kills all processes that still run, including the stand-ins. It may be
// called after Stop.
func (c *Cluster) Kill() {
	for _, p := range c.procs {
		if p.Running() {
			p.Kill()
		}
	}
	if c.partition != nil {
		c.partition.close()
	}
	if c.standin != nil && c.standin.Running() {
		c.standin.Kill()
	}
	_ = c.claim.Close()
}

// Log returns the log of a process, or the error that prevents reading it.
func (c *Cluster) Log(vm int, role string) string {
	text, err := os.ReadFile(filepath.Join(c.opts.Dir, processName(vm, role)+".log"))
	if err != nil {
		return errors.Wrap(err, "read log").Error()
	}
	return string(text)
}

func processName(vm int, role string) string { return fmt.Sprintf("vm-%d-%s", vm+1, role) }
