package callers

import "testing"

// Guards against queries that take memory for each leaf that they wait for, so that many ordinary
// ones at a time exceed the memory of the VM.
func TestQueriesToManyLeaves(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, false, []row{
		{name: "one VM", request: ordinary, path: widePath, shards: largeShards},
	})
	runRows(t, memoryCrowd, smallMemory, true, []row{
		{name: "delegated", request: ordinary, path: widePath, shards: largeShards},
	})
}

// Guards against queries whose connections to leaves take all descriptors.
func TestConnectionsToLeaves(t *testing.T) {
	runRows(t, descriptorCrowd, fewDescriptors, false, []row{
		{name: "ordinary queries", request: ordinary, path: widePath, shards: largeShards},
	})
}
