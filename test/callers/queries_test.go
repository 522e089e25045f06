package callers

import (
	"fmt"
	"strings"
	"testing"
)

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

// patient returns an ordinary request whose caller waits for longer than the test.
func patient(path string) string {
	return strings.Replace(ordinary(path), fmt.Sprintf("X-Deadline-Ms: %d", timeLimitMs), fmt.Sprintf("X-Deadline-Ms: %d", patientTimeLimitMs), 1)
}

// Guards against requests to slow leaves that keep all connections of callers for as long as they
// run, so that nobody else can connect.
func TestRunningRequests(t *testing.T) {
	runRows(t, descriptorCrowd, fewDescriptors, false, []row{
		{name: "one leaf", request: patient, path: patientPath},
	})
}
