package process_test

import (
	"fmt"
	"strings"
	"sync"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// warmCallers is few enough for leaves that are still cold.
const warmCallers = 2

// warmed sends queries until every leaf of the index is warm. The load of a
// test must not meet leaves that cannot bear it yet: what it lost there would be
// taken for a loss by the fault.
func (r *rig) warmed() {
	var g sync.WaitGroup
	stop := make(chan struct{})
	for n := range warmCallers {
		g.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					_, _ = r.Query(r.ctx, (i+n)%len(r.Fleet.VMs), "course-audit", fmt.Sprintf("warm %d %d", n, i))
				}
			}
		})
	}
	leaves := 0
	for _, l := range r.Fleet.Leaves {
		if strings.HasPrefix(l.ID, "enrolment-") {
			leaves++
		}
	}
	err := harness.Wait(r.ctx, "warm leaves", func() error {
		_, err := r.SomeWarm("enrolment", leaves)
		return err
	})
	close(stop)
	g.Wait()
	assert.NilError(r.t, err)
}
