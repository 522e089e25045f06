package delegation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func open(string) bool { return true }

// grown is a zone of the grown deployments: two VMs with four times the
// processor of the others, and VMs of another zone.
func grown() []VM {
	return []VM{
		{"big-1", "osorno", "10.0.0.1:1", 0.8}, {"big-2", "osorno", "10.0.0.2:1", 0.8},
		{"small-1", "osorno", "10.0.0.3:1", 0.192}, {"small-2", "osorno", "10.0.0.4:1", 0.192},
		{"far", "valdivia", "10.0.0.5:1", 0.8},
	}
}

// On the grown deployments a VM with 0.192 of a core took 120 ms for the 90
// requests of a query whose target is 120 ms.
func TestSmallVMsDelegateInTheirZone(t *testing.T) {
	c := New(grown()[2])
	assert.Assert(t, c.SetMembers(grown()))
	seen := make(map[string]int)
	for range 100 {
		vm, ok := c.Choose(0, open)
		assert.Assert(t, ok)
		assert.Equal(t, string(vm.Zone), "osorno")
		seen[vm.Name]++
		c.Complete(0, vm.Address, Answered)
	}
	assert.DeepEqual(t, seen, map[string]int{"big-1": 50, "big-2": 50})
	assert.Assert(t, !c.SetMembers(grown()), "the same members are no change")
}

// The bounds that all VMs share are divided by who runs queries.
func TestAggregatorsOfAFleet(t *testing.T) {
	assert.DeepEqual(t, Aggregators(grown()), map[string]bool{"big-1": true, "big-2": true})
	assert.Equal(t, len(Aggregators(grown()[:2])), 0, "VMs of equal size")
	assert.Equal(t, len(Aggregators([]VM{{Name: "a", Zone: "z", Address: "1"}, {Name: "b", Zone: "z", Address: "2"}})), 0, "unknown sizes")
}

// VMs of equal size, and the largest ones, run their queries themselves.
func TestEqualVMsDoNotDelegate(t *testing.T) {
	for _, self := range []int{0, 4} {
		c := New(grown()[self])
		c.SetMembers(grown())
		_, ok := c.Choose(0, open)
		assert.Assert(t, !ok)
	}
}

// An aggregator that declines, is lost or stays silent is passed over for a while;
// with no other one the query runs here.
func TestAggregatorsThatFailArePassedOver(t *testing.T) {
	for name, row := range map[string]struct {
		fail func(c *Chooser, addr string)
		rest time.Duration
	}{
		"declined": {func(c *Chooser, a string) { c.Complete(0, a, Declined) }, declinedRest},
		"lost":     {func(c *Chooser, a string) { c.Complete(0, a, ConnectionLost) }, silentRest},
		"overdue":  {func(c *Chooser, a string) { c.MarkOverdue(0, a) }, silentRest},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(grown()[2])
			c.SetMembers(grown())
			for range 2 {
				vm, ok := c.Choose(0, open)
				assert.Assert(t, ok)
				row.fail(c, vm.Address)
			}
			_, ok := c.Choose(row.rest-1, open)
			assert.Assert(t, !ok)
			_, ok = c.Choose(row.rest, open)
			assert.Assert(t, ok)
		})
	}
}

// A late answer shows that the aggregator is there.
func TestLateAnswerEndsTheRest(t *testing.T) {
	c := New(grown()[2])
	c.SetMembers(grown()[:1])
	vm, _ := c.Choose(0, open)
	c.MarkOverdue(time.Second, vm.Address)
	c.Complete(time.Second+time.Millisecond, vm.Address, Answered)
	_, ok := c.Choose(time.Second+2*time.Millisecond, open)
	assert.Assert(t, ok)
}

// No query waits for a connection, and queries go where fewer are running.
func TestOpenConnectionsAndFewestQueries(t *testing.T) {
	c := New(grown()[2])
	c.SetMembers(grown())
	_, ok := c.Choose(0, func(string) bool { return false })
	assert.Assert(t, !ok)
	seen := make(map[string]int)
	for range 10 {
		vm, _ := c.Choose(0, open)
		seen[vm.Name]++
	}
	assert.DeepEqual(t, seen, map[string]int{"big-1": 5, "big-2": 5})
}
