package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of CPU times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Indexes of the user and system CPU time among the fields that follow the
// program name in /proc/PID/stat.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// CPU returns the CPU time that the process has used.
func (p *Process) CPU() (time.Duration, error) { return processCPU(p.cmd.Process.Pid) }

// SelfCPU returns the CPU time that the calling process has used.
func SelfCPU() (time.Duration, error) { return processCPU(os.Getpid()) }

func processCPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= systemTimeField {
		return 0, errors.Errorf("unexpected content of /proc/%d/stat", pid)
	}
	user, err := strconv.Atoi(fields[userTimeField])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[systemTimeField])
	if err != nil {
		return 0, err
	}
	return time.Duration(user+system) * clockTick, nil
}

// CPU returns the total CPU time of all processes with a role.
func (c *Cluster) CPU(role string) (time.Duration, error) {
	var total time.Duration
	for vm := range c.Fleet.VMs {
		used, err := c.Process(vm, role).CPU()
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}
