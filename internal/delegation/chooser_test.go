package delegation

import (
	"fmt"
	"slices"
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
	assert.Equal(t, len(seen), 1, "%v", seen)
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

// Load pattern: ten queries a second in a zone with three aggregators, whose leaves close
// idle connections after a second. Guards against VMs that prefer different aggregators.
func TestAllVMsOfAZonePreferTheSameAggregator(t *testing.T) {
	vms := vmsOfTwoSizes()
	preferred := map[string]bool{}
	for i := range 50 {
		c := New(VM{Name: fmt.Sprint("small-", i), Zone: "osorno", Address: fmt.Sprint("10.1.0.", i, ":1"), Cores: 0.192})
		slices.Reverse(vms)
		c.SetMembers(vms)
		vm, ok := c.Choose(0, alwaysConnected)
		assert.Assert(t, ok)
		preferred[vm.Name] = true
	}
	assert.Equal(t, len(preferred), 1)
}

// Load pattern: more queries than one aggregator can run. Guards against queries that
// wait for each other at one aggregator while another is idle, and against queries that
// wait for a connection.
func TestBusyAggregatorsAreRelieved(t *testing.T) {
	c := New(vmsOfTwoSizes()[2])
	c.SetMembers(vmsOfTwoSizes())
	_, ok := c.Choose(0, func(string) bool { return false })
	assert.Assert(t, !ok)
	seen := make(map[string]int)
	for range 4 * busyRuns {
		vm, _ := c.Choose(0, alwaysConnected)
		seen[vm.Name]++
	}
	assert.DeepEqual(t, seen, map[string]int{"big-1": 2 * busyRuns, "big-2": 2 * busyRuns})

	c = New(vmsOfTwoSizes()[2])
	c.SetMembers(vmsOfTwoSizes())
	first, _ := c.Choose(0, alwaysConnected)
	c.Complete(time.Second, first.Address, Answered)
	c.RecordLoad(time.Second, first.Address, busyRuns)
	second, _ := c.Choose(time.Second, alwaysConnected)
	assert.Assert(t, second != first)
	third, _ := c.Choose(time.Second+loadLifetime+1, alwaysConnected)
	assert.Equal(t, third, first)
}
