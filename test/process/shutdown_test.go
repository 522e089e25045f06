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

// stopAll stops processes of a VM at the same time; each must exit with 0.
func (r *rig) stopAll(vm int, roles []string) {
	r.t.Logf("%s stopping %v of vm %d", time.Now().Format("05.000"), roles, vm)
	var g errgroup.Group
	for _, role := range roles {
		g.Go(r.Process(vm, role).Stop)
	}
	assert.NilError(r.t, g.Wait())
}

func (r *rig) startAll(vm int, roles []string) {
	r.t.Logf("%s starting %v of vm %d", time.Now().Format("05.000"), roles, vm)
	for _, role := range roles {
		r.restart(vm, role)
	}
}

// served waits until the VM's relay may send to the leaves of the index that
// it owns.
func (r *rig) served(vm int) {
	assert.NilError(r.t, harness.Wait(r.ctx, "leaves with load", func() error {
		status, err := r.Status(r.ctx, vm, harness.RoleRelay)
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

// Guards against a planned stop of one process, or of all of a VM, that
// interrupts or refuses a request.
func TestPlannedStop(t *testing.T) {
	r := newRig(t, "valdivia", 2, "course-finder")
	defer r.reportFailure()
	r.warmed()
	l := r.startLoad()
	for vm, roles := range [][]string{{harness.RoleEntry}, {harness.RoleRelay}, {harness.RoleAgent}, vmRoles} {
		r.stopAll(vm, roles)
		r.startAll(vm, roles)
	}
	l.finish()
}

// Guards against requests that fail while all VMs are replaced one after the
// other.
func TestRollingReplacement(t *testing.T) {
	r := newRig(t, "valdivia", 1, "course-finder")
	defer r.reportFailure()
	r.warmed()
	l := r.startLoad()
	for vm := range r.Fleet.VMs {
		r.stopAll(vm, vmRoles)
		r.startAll(vm, vmRoles)
		r.served(vm)
	}
	l.finish()
}
