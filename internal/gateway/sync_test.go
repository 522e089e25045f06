package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Load pattern: all VMs lost power and start at once. Guards against refusals that send
// callers, who come back once, to other VMs that have just started too.
func TestCallersOfAStartingVMReturnWhenItHasSynced(t *testing.T) {
	n := New(Config{VM: "vm-1"}, nil, nil)
	after := n.syncedIn()
	assert.Assert(t, after > syncTime/2 && after <= syncTime, "%v", after)
	n.started = n.started.Add(-2 * syncTime)
	assert.Equal(t, n.syncedIn(), minSyncRetryAfter)
}
