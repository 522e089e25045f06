package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTick is the unit of the times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Positions of user and system time after the program's name in
// /proc/PID/stat.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// CPU returns the processor time that the process has used.
func (p *Process) CPU() (time.Duration, error) { return cpuOf(p.cmd.Process.Pid) }

// SelfCPU returns the processor time that the calling process has used.
func SelfCPU() (time.Duration, error) { return cpuOf(os.Getpid()) }

func cpuOf(pid int) (time.Duration, error) {
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

// CPU returns the processor time of all processes of a role.
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
