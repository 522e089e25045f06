package process_test

import (
	"strings"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// warmUpLeaves sends the queries of two callers, few enough for cold leaves, until
// every leaf of the index is warm. Otherwise requests that cold leaves refuse under
// the load of a test would be counted as caused by the fault.
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
