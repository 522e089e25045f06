package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// twoZones returns a table with one leaf per zone for each of five shards, which
// all have answered, and the configuration of a route over them.
func twoZones(leastCoverage float64) (*Table, *fleet.Configuration) {
	conf := &fleet.Configuration{Routes: []*fleet.Route{{Name: route, MinCoverage: leastCoverage}}, Services: map[fleet.ServiceName]fleet.Service{}}
	all := map[fleet.LeafID]fleet.Leaf{}
	for i := range 5 {
		shard := fleet.ServiceName(fmt.Sprint("s", i))
		conf.Services[shard] = fleet.Service{Name: shard, MaxConnections: 26}
		conf.Routes[0].Shards = append(conf.Routes[0].Shards, shard)
		for _, zone := range []fleet.Zone{"here", "there"} {
			id := fleet.LeafID(fmt.Sprintf("%s-%d", zone, i))
			all[id] = fleet.Leaf{ID: id, Service: shard, Address: string(id) + ":1", Zone: zone, Slots: 2}
		}
	}
	table := New(Config{})
	table.SetConfiguration(conf)
	table.SetMembers(4)
	table.SetLeaves(0, all)
	for id := range all {
		table.Begin(0, id)
		table.End(10*ms, id, route, 0, Replied)
	}
	return table, conf
}

// cutOff makes requests to some leaves of the other zone fail.
func cutOff(table *Table, at time.Duration, requests int, outcome Outcome) {
	for i := range requests {
		id := fleet.LeafID(fmt.Sprintf("there-%d", i%5))
		table.Begin(at, id)
		table.End(at+150*ms, id, route, at, outcome)
	}
}

// Load pattern: a zone is cut off while queries run. Guards against queries that
// each wait for leaves of the zone until every single one has failed, and
// against a zone that stays out after the cut has healed.
func TestZoneThatIsCutOff(t *testing.T) {
	for _, outcome := range []Outcome{Unreachable, TimedOut, Abandoned} {
		table, _ := twoZones(0.8)
		at := time.Second
		cutOff(table, at, zoneDownAfter, outcome)
		now := at + 160*ms
		for i := range 5 {
			choices := table.Choices(now, fleet.ServiceName(fmt.Sprint("s", i)), route)
			assert.Equal(t, len(choices), 1, "%v", choices)
			assert.Equal(t, choices[0].Zone, fleet.Zone("here"))
		}
		_, due := table.NextZoneProbe(now, "there")
		assert.Assert(t, !due)
		trial, due := table.NextZoneProbe(now+zoneTrialEvery, "there")
		assert.Assert(t, due && trial.Zone == "there")
		_, again := table.NextZoneProbe(now+zoneTrialEvery, "there")
		assert.Assert(t, !again)
		table.RecordZoneReachable(now+zoneTrialEvery, "there")
		assert.Equal(t, len(table.Choices(now+zoneTrialEvery, "s0", route)), 2)
	}
}

// Guards against a zone that counts as cut off because a few of its leaves are
// dark while others answer.
func TestDarkLeavesAreNoZoneThatIsCutOff(t *testing.T) {
	table, _ := twoZones(0.8)
	for turn := range 10 {
		at := time.Second + time.Duration(turn)*200*ms
		cutOff(table, at, 2, Unreachable)
		table.Begin(at, "there-4")
		table.End(at+10*ms, "there-4", route, at, Replied)
	}
	assert.Equal(t, len(table.UnreachableZones()), 0)
}

// Load pattern: a zone is cut off and lacks some shards. Guards against a VM
// that keeps its callers although VMs elsewhere can serve them, and against VMs
// outside that send theirs away because a zone is missing.
func TestIsolatedVM(t *testing.T) {
	table, conf := twoZones(0.8)
	cutOff(table, time.Second, zoneDownAfter, Unreachable)
	now := time.Second + 160*ms
	assert.Assert(t, table.Isolated("here") && table.CanMeetMinCoverage(now, conf))
	assert.Assert(t, !table.Isolated("there"))
	gone := map[fleet.LeafID]fleet.Leaf{}
	for id, l := range table.leaves {
		if id != "here-0" && id != "here-1" {
			gone[id] = l.Leaf
		}
	}
	table.SetLeaves(now, gone)
	assert.Assert(t, table.Isolated("here") && !table.CanMeetMinCoverage(now, conf))
	table.RecordZoneReachable(now, "there")
	assert.Assert(t, !table.Isolated("here") && table.CanMeetMinCoverage(now, conf))
}
