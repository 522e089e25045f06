package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the users' platform.
const (
	grace        = 6 * time.Second
	restartDelay = 300 * time.Millisecond
)

// settingsFormat is deploy/node.toml.tmpl with the figures of the users' small sites.
const settingsFormat = `vm = %q
zone = %q
cpu_share = 0.4
cpu_speed = 1
callers = %q
ready = %q
admin = %q
peers = %q
seeds = [%s]
store = %q
first_start = %t
grace = "6s"
extra_ratio = 0.2
extra_slack = 58
extra_window = "10s"
cold_factor = 1.5
cold_slack = 5
log_verbosity = 0
`

// zones are those of the users' first site.
var zones = []string{"sur-valdivia", "sur-osorno", "sur-pmontt"}

// nineVMs is a layout of 9 VMs, three in each zone.
var nineVMs = slices.Repeat(zones, 3)

// maxSeeds is how many VMs the settings name as seeds.
const maxSeeds = 3

// vm is one VM of the system: one medlar-node process.
type vm struct {
	rig                          *rig
	name, zone                   string
	callers, ready, admin, peers string
	seeds                        []string

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}

	// peak is the most memory of the process in bytes, ends how often it was ended because of
	// its memory.
	peak int64
	ends int
}

// addVMs adds a VM for each zone of a layout. The first ones of three zones are seeds.
func (r *rig) addVMs(layout []string) error {
	var seeds []string
	inZone := make(map[string]int)
	for _, zone := range layout {
		inZone[zone]++
		v := &vm{rig: r, zone: zone, name: fmt.Sprintf("edge-%s-%d", zone, inZone[zone])}
		for _, addr := range []*string{&v.callers, &v.ready, &v.admin, &v.peers} {
			var err error
			if *addr, err = r.freeAddress(); err != nil {
				return err
			}
		}
		if inZone[zone] == 1 && len(seeds) < maxSeeds {
			seeds = append(seeds, v.peers)
		}
		r.vms = append(r.vms, v)
	}
	for _, v := range r.vms {
		v.seeds = seeds
		if err := v.start(true); err != nil {
			return err
		}
	}
	for _, v := range r.vms {
		if err := v.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) start(first bool) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rig.ending.Load() {
		return errors.New("the case is ending")
	}
	quoted := make([]string, 0, len(v.seeds))
	for _, seed := range v.seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	path := filepath.Join(v.rig.dir, v.name+".toml")
	text := fmt.Sprintf(settingsFormat, v.name, v.zone, v.callers, v.ready, v.admin, v.peers, strings.Join(quoted, ", "), v.rig.store.addr, first)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.rig.dir, v.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(v.rig.node)
	// The VMs have one core.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "MEDLARSWITCH_CONFIG=" + path, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	v.process, v.ended = cmd, ended
	v.rig.log("%s started, process %d", v.name, cmd.Process.Pid)
	return nil
}

func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	_ = v.process.Process.Signal(s)
	return v.ended
}

// kill ends the process at once.
func (v *vm) kill() { <-v.signal(syscall.SIGKILL) }

// stop stops the VM as planned work does.
func (v *vm) stop() {
	v.rig.log("%s gets SIGTERM", v.name)
	select {
	case <-v.signal(syscall.SIGTERM):
	case <-time.After(grace):
		v.kill()
	}
	v.rig.log("%s has ended", v.name)
}

// restart stops the VM as planned work does, and starts it again.
func (v *vm) restart() error {
	v.stop()
	time.Sleep(restartDelay)
	if err := v.start(false); err != nil {
		return err
	}
	return v.waitReady(10 * time.Second)
}

// waitReady waits until the readiness check succeeds.
func (v *vm) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", v.name, limit)
}
