package delegation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func alwaysConnected(string) bool { return true }

// vmsOfTwoSizes returns a zone in which two VMs have four times the CPU of the
// others, and a VM of another zone.
func vmsOfTwoSizes() []VM {
	return []VM{
		{"big-1", "osorno", "10.0.0.1:1", 0.8}, {"big-2", "osorno", "10.0.0.2:1", 0.8},
		{"small-1", "osorno", "10.0.0.3:1", 0.192}, {"small-2", "osorno", "10.0.0.4:1", 0.192},
		{"far", "valdivia", "10.0.0.5:1", 0.8},
	}
}

// Guards against missed latency targets on small VMs: a VM with 0.192 of a core needed
// 120 ms for the 90 requests of a query whose target is 120 ms.
func TestSmallVMsDelegateInTheirZone(t *testing.T) {
	c := New(vmsOfTwoSizes()[2])
	assert.Assert(t, c.SetMembers(vmsOfTwoSizes()))
	seen := make(map[string]int)
	for range 100 {
		vm, ok := c.Choose(0, alwaysConnected)
		assert.Assert(t, ok)
		assert.Equal(t, string(vm.Zone), "osorno")
		seen[vm.Name]++
		c.Complete(0, vm.Address, Answered)
	}
	assert.DeepEqual(t, seen, map[string]int{"big-1": 50, "big-2": 50})
	assert.Assert(t, !c.SetMembers(vmsOfTwoSizes()), "SetMembers must not report a change for the same members")
}

// Guards against a wrong set of aggregators, among which limits that apply to the
// whole fleet are divided.
func TestAggregatorsOfAFleet(t *testing.T) {
	assert.DeepEqual(t, Aggregators(vmsOfTwoSizes()), map[string]bool{"big-1": true, "big-2": true})
	assert.Equal(t, len(Aggregators(vmsOfTwoSizes()[:2])), 0, "VMs of equal size")
	assert.Equal(t, len(Aggregators([]VM{{Name: "a", Zone: "z", Address: "1"}, {Name: "b", Zone: "z", Address: "2"}})), 0, "unknown sizes")
}

// Guards against delegation by the largest VMs of a zone and by a VM that is alone in
// its zone, which would add a hop without a gain.
func TestEqualVMsDoNotDelegate(t *testing.T) {
	for _, self := range []int{0, 4} {
		c := New(vmsOfTwoSizes()[self])
		c.SetMembers(vmsOfTwoSizes())
		_, ok := c.Choose(0, alwaysConnected)
		assert.Assert(t, !ok)
	}
}

// Guards against queries to an aggregator that has just declined one, lost the
// connection or become unresponsive. If no aggregator is left, the VM runs the query.
func TestFailedAggregatorsAreSkipped(t *testing.T) {
	for name, row := range map[string]struct {
		fail    func(c *Chooser, addr string)
		backoff time.Duration
	}{
		"declined": {func(c *Chooser, a string) { c.Complete(0, a, Declined) }, declinedBackoff},
		"lost":     {func(c *Chooser, a string) { c.Complete(0, a, ConnectionLost) }, unresponsiveBackoff},
		"overdue":  {func(c *Chooser, a string) { c.MarkOverdue(0, a) }, unresponsiveBackoff},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(vmsOfTwoSizes()[2])
			c.SetMembers(vmsOfTwoSizes())
			for range 2 {
				vm, ok := c.Choose(0, alwaysConnected)
				assert.Assert(t, ok)
				row.fail(c, vm.Address)
			}
			_, ok := c.Choose(row.backoff-1, alwaysConnected)
			assert.Assert(t, !ok)
			_, ok = c.Choose(row.backoff, alwaysConnected)
			assert.Assert(t, ok)
		})
	}
}

// Guards against a backoff that continues although a late answer has shown that the
// aggregator is responsive.
func TestLateAnswerEndsBackoff(t *testing.T) {
	c := New(vmsOfTwoSizes()[2])
	c.SetMembers(vmsOfTwoSizes()[:1])
	vm, _ := c.Choose(0, alwaysConnected)
	c.MarkOverdue(time.Second, vm.Address)
	c.Complete(time.Second+time.Millisecond, vm.Address, Answered)
	_, ok := c.Choose(time.Second+2*time.Millisecond, alwaysConnected)
	assert.Assert(t, ok)
}

// Guards against queries that wait for a connection, and against an uneven number of
// running queries per aggregator.
func TestOpenConnectionsAndFewestQueries(t *testing.T) {
	c := New(vmsOfTwoSizes()[2])
	c.SetMembers(vmsOfTwoSizes())
	_, ok := c.Choose(0, func(string) bool { return false })
	assert.Assert(t, !ok)
	seen := make(map[string]int)
	for range 10 {
		vm, _ := c.Choose(0, alwaysConnected)
		seen[vm.Name]++
	}
	assert.DeepEqual(t, seen, map[string]int{"big-1": 5, "big-2": 5})
}
