package callers

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/freeport"
	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/platform"
)

const vmSettings = `vm = %q
zone = "z"
cpu_share = %g
cpu_speed = 1
callers = %q
ready = %q
admin = %q
peers = %q
seeds = [%q]
store = %q
first_start = true
grace = "4s"
extra_ratio = 0.2
extra_slack = 58
extra_window = "10s"
cold_factor = 1.5
cold_slack = 5
memory_mb = %d
descriptors = %d
log_verbosity = 0
`

// vmLimits are the limits of a VM.
type vmLimits struct {
	memory      int
	descriptors int
}

// vm is one medlar-node process.
type vm struct {
	t       *testing.T
	name    string
	callers string
	admin   string
	limits  vmLimits
	process *harness.Process
	// peakDescriptors is the greatest number of open descriptors that was seen.
	peakDescriptors atomic.Int64
}

// sampleInterval is the time between two counts of open descriptors.
const sampleInterval = 5 * time.Millisecond

// sampleDescriptors counts the open descriptors until the process ends.
func (v *vm) sampleDescriptors() {
	for v.process.Running() {
		// An error means that the process has ended.
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.process.PID())); err == nil {
			v.peakDescriptors.Store(max(v.peakDescriptors.Load(), int64(len(entries))))
		}
		time.Sleep(sampleInterval)
	}
}

// startVM starts a VM that reads the store and waits until it is ready.
func startVM(t *testing.T, name, store string, cores float64, limits vmLimits) *vm {
	v := &vm{t: t, name: name, callers: freeAddress(t), admin: freeAddress(t), limits: limits}
	ready, peers := freeAddress(t), freeAddress(t)
	dir := t.TempDir()
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(vmSettings, name, cores, v.callers, ready, v.admin, peers, peers, store, limits.memory>>20, limits.descriptors)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	process, err := harness.StartProcess(dir, name, program, "--settings", path)
	assert.NilError(t, err)
	v.process = process
	go v.sampleDescriptors()
	t.Cleanup(func() {
		process.Kill()
		if t.Failed() {
			v.logEnd(filepath.Join(dir, name+".log"))
		}
	})
	waitFor(t, "readiness of "+name, func() error {
		resp, err := http.Get("http://" + ready + platform.ReadyPath)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	return v
}

// loggedLines is the number of lines of a log that are shown.
const loggedLines = 30

// logEnd shows the end of the VM's log.
func (v *vm) logEnd(path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		v.t.Log(err)
		return
	}
	lines := strings.SplitAfter(string(text), "\n")
	v.t.Logf("the last lines of %s:\n%s", v.name, strings.Join(lines[max(len(lines)-loggedLines, 0):], ""))
}

// check checks that the process lives and is within its limits.
func (v *vm) check() {
	v.t.Helper()
	assert.Assert(v.t, v.process.Running(), "%s has ended", v.name)
	peak, open := v.peakMemory(), int(v.peakDescriptors.Load())
	v.t.Logf("%s: peak memory %d of %d MB, peak %d of %d descriptors", v.name, peak>>20, v.limits.memory>>20, open, v.limits.descriptors)
	assert.Check(v.t, peak <= v.limits.memory, "%s took %d MB of %d MB", v.name, peak>>20, v.limits.memory>>20)
	assert.Check(v.t, open <= v.limits.descriptors, "%s had %d descriptors of %d", v.name, open, v.limits.descriptors)
}

// peakMemory returns the greatest resident memory of the process so far, in bytes.
func (v *vm) peakMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.PID()))
	assert.NilError(v.t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(v.t, err)
			return kib << 10
		}
	}
	v.t.Fatal("the system does not state the peak memory")
	return 0
}

// waitTimeout bounds a wait for a state that is reached sooner on any machine.
const waitTimeout = time.Minute

// waitFor polls until check returns nil.
func waitFor(t *testing.T, what string, check func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

func freeAddress(t *testing.T) string {
	addr, err := freeport.Address()
	assert.NilError(t, err)
	return addr
}

// waitServed waits until a VM answers a request for a path with success.
func waitServed(t *testing.T, v *vm, path string, request func(string) string) {
	t.Helper()
	waitFor(t, "an answer to "+path, func() error {
		assert.Assert(t, v.process.Running(), "%s has ended", v.name)
		status, err := send(v.callers, request(path))
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// waitDelegated waits until a VM delegates its queries.
func waitDelegated(t *testing.T, v *vm) {
	t.Helper()
	waitFor(t, "a delegated query", func() error {
		if status, err := send(v.callers, ordinary(widePath)); err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d, %v", status, err)
		}
		resp, err := http.Get("http://" + v.admin + "/metrics")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil || strings.Contains(string(text), "requests_delegated_total 0\n") {
			return fmt.Errorf("none delegated, %v", err)
		}
		return nil
	})
}
