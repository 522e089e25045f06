package process_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

var vmRoles = []string{harness.RoleAgent, harness.RoleRelay, harness.RoleEntry}

// stopRoles stops processes of a VM at the same time and asserts that each exits
// with status 0.
func (c *testCluster) stopRoles(vm int, roles []string) {
	c.t.Logf("%s stopping %v of vm %d", time.Now().Format("05.000"), roles, vm)
	var g errgroup.Group
	for _, role := range roles {
		g.Go(c.Process(vm, role).Stop)
	}
	assert.NilError(c.t, g.Wait())
}

func (c *testCluster) startRoles(vm int, roles []string) {
	c.t.Logf("%s starting %v of vm %d", time.Now().Format("05.000"), roles, vm)
	for _, role := range roles {
		c.restart(vm, role)
	}
}

// waitOwnedLeavesServe waits until the relay on a VM may send to all leaves of the
// index that it owns.
func (c *testCluster) waitOwnedLeavesServe(vm int) {
	assert.NilError(c.t, harness.Wait(c.ctx, "leaves that accept requests", func() error {
		status, err := c.Status(c.ctx, vm, harness.RoleRelay)
		if err != nil {
			return err
		}
		owned := 0
		for _, l := range status.GetLeaves() {
			if !strings.HasPrefix(l.GetLeaf(), "enrolment-") {
				continue
			}
			owned++
			if l.GetReason() != "" {
				return fmt.Errorf("leaf %s is %s %s", l.GetLeaf(), l.GetState(), l.GetReason())
			}
		}
		if owned == 0 {
			return fmt.Errorf("no leaves")
		}
		return nil
	}))
}

// Guards against requests that fail because one process, or all processes of a VM,
// are stopped gracefully.
func TestPlannedStop(t *testing.T) {
	c := newTestCluster(t, "valdivia", 2, "course-finder")
	defer c.reportFailure()
	c.warmUpLeaves()
	l := c.startLoad()
	for vm, roles := range [][]string{{harness.RoleEntry}, {harness.RoleRelay}, {harness.RoleAgent}, vmRoles} {
		c.stopRoles(vm, roles)
		c.startRoles(vm, roles)
	}
	l.finish()
}

// Guards against requests that fail while all VMs are replaced one after the
// other.
func TestRollingReplacement(t *testing.T) {
	c := newTestCluster(t, "valdivia", 1, "course-finder")
	defer c.reportFailure()
	c.warmUpLeaves()
	l := c.startLoad()
	for vm := range c.Fleet.VMs {
		c.stopRoles(vm, vmRoles)
		c.startRoles(vm, vmRoles)
		c.waitOwnedLeavesServe(vm)
	}
	l.finish()
}
