package process_test

import (
	"strings"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// warmed sends the queries of two callers, which leaves that are still cold can
// bear, until every leaf of the index is warm. The load of a test must not meet
// leaves that cannot bear it yet: what it lost there would be taken for a loss
// by the fault.
func (r *rig) warmed() {
	load := r.StartLoad(r.ctx, "course-audit", 1, 0, 1)
	defer load.Stop()
	leaves := 0
	for _, l := range r.Fleet.Leaves {
		if strings.HasPrefix(l.ID, "enrolment-") {
			leaves++
		}
	}
	assert.NilError(r.t, harness.Wait(r.ctx, "warm leaves", func() error {
		_, err := r.WarmLeaves("enrolment", leaves)
		return err
	}))
}
