package latency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a slow replica that keeps its full share of the queries, and
// against a replica in a distant zone that is classified as slow.
func TestSlowLeaf(t *testing.T) {
	near, far, slow := &topology.Leaf{ID: "near"}, &topology.Leaf{ID: "far"}, &topology.Leaf{ID: "slow"}
	siblings := []*topology.Leaf{near, far, slow}
	l := NewLeafTable()
	assert.Assert(t, !l.Slow(near, siblings))
	for range 100 {
		l.Observe("near", 12*time.Millisecond)
		l.Observe("far", 22*time.Millisecond)
		l.Observe("slow", 60*time.Millisecond)
	}
	assert.Assert(t, !l.Slow(near, siblings) && !l.Slow(far, siblings) && l.Slow(slow, siblings))
	for range 100 {
		l.Observe("slow", 12*time.Millisecond)
	}
	assert.Assert(t, !l.Slow(slow, siblings))
	l.Retain(nil)
	assert.Assert(t, !l.Slow(far, siblings))
}
