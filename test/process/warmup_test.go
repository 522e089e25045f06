package process_test

import (
	"strings"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// warmUpLeaves sends the queries of two callers, which leaves that are still cold can
// bear, until every leaf of the index is warm. The load of a test must not meet
// leaves that cannot bear it yet: what it lost there would be taken for a loss
// by the fault.
func (c *testCluster) warmUpLeaves() {
	load := c.StartLoad(c.ctx, "course-audit", 1, 0, 1)
	defer load.Stop()
	leaves := 0
	for _, l := range c.Fleet.Leaves {
		if strings.HasPrefix(l.ID, "enrolment-") {
			leaves++
		}
	}
	assert.NilError(c.t, harness.Wait(c.ctx, "warm leaves", func() error {
		_, err := c.WarmLeaves("enrolment", leaves)
		return err
	}))
}
